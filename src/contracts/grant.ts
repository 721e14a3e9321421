import { z } from "zod";
import { Unit } from "../shards/unit.ts";

/** The right to serve units, granted to an upstream by its dispatcher. */
export const Grant = z.object({
  /** Epoch of the dispatch term; a greater one supersedes. */
  epoch: z.int().positive(),
  /** Sequence number within a dispatch term; a greater one supersedes. */
  seq: z.int().nonnegative(),
  dispatcher: z.string(),
  units: z.array(Unit),
  /** End of the grant on the upstream's own monotonic clock, milliseconds. */
  expiresAt: z.number(),
});
export type Grant = z.infer<typeof Grant>;
