import { z } from "zod";
import { Unit } from "../shards/unit.ts";

/** An upstream's clock reading and the grant that it holds. */
export const GrantState = z.looseObject({
  /** Reading of the upstream's own monotonic clock, milliseconds. */
  now: z.number(),
  epoch: z.int().nonnegative(),
  seq: z.int().nonnegative(),
  units: z.array(Unit),
  expiresAt: z.number(),
});
export type GrantState = z.infer<typeof GrantState>;
