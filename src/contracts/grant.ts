import { z } from "zod";
import { Unit } from "../shards/unit.ts";

/** The right to serve units, as a dispatcher gives it to an upstream. */
export const Grant = z.object({
  /** Epoch of the dispatcher's dispatch term; greater wins. */
  epoch: z.int().positive(),
  /** Order of grants within a dispatch term; greater wins. */
  seq: z.int().nonnegative(),
  dispatcher: z.string(),
  units: z.array(Unit),
  /** End of the grant in the upstream's own clock, milliseconds. */
  expiresAt: z.number(),
});
export type Grant = z.infer<typeof Grant>;
