import { z } from "zod";
import { RefusalCode } from "./refusal_code.ts";

/**
 * Answer that the router gives in place of an upstream. `not_run` guarantees
 * that no upstream has started the request; `outcome_unknown` guarantees
 * nothing.
 */
export const Refusal = z.object({
  code: RefusalCode,
  outcome: z.enum(["not_run", "outcome_unknown"]),
  message: z.string(),
  data: z.record(z.string(), z.unknown()).optional(),
});
export type Refusal = z.infer<typeof Refusal>;
