import { z } from "zod";

/**
 * Request of a new leader to its predecessor, which may be unable to reach the
 * store, to step down. Its method and result keep their outer names.
 */
export const StepDownRequest = {
  method: "ranges.yield",
  params: z.object({ vm: z.string() }),
  result: z.object({
    /** Whether the called VM sends no orders from now on. */
    yielded: z.boolean(),
  }),
};
