import { z } from "zod";
import { AdminCode } from "./admin_code.ts";

/** Body of every answer that is not a success. */
export const AdminError = z.object({
  code: AdminCode,
  message: z.string(),
  data: z.record(z.string(), z.unknown()).default({}),
});
export type AdminError = z.infer<typeof AdminError>;
