import { z } from "zod";
import { AdminCode } from "./admin_code.ts";

/** Body of every error answer. */
export const AdminError = z.object({
  code: AdminCode,
  message: z.string(),
  data: z.record(z.string(), z.unknown()).default({}),
});
export type AdminError = z.infer<typeof AdminError>;
