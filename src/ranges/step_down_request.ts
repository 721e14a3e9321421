import { z } from "zod";

/** A new leader asks an earlier one, which may be cut off, to stop. */
export const StepDownRequest = {
  method: "ranges.yield",
  params: z.object({ vm: z.string() }),
  result: z.object({
    /** Whether the called VM sends no orders from now on. */
    yielded: z.boolean(),
  }),
};
