import { z } from "zod";

/** Behaviour of one upstream stand-in. */
export const UpstreamOptions = z.object({
  id: z.string(),
  service: z.string(),
  slots: z.int().positive().default(2),
  /** Mean time that a request holds a slot, in milliseconds. */
  serviceMs: z.number().nonnegative().default(2),
  /** Seed of the random service times. */
  seed: z.int().default(1),
  checksGrants: z.boolean().default(true),
  /** Starts cold, with `coldConcurrency` and `coldRatePerS` until warm. */
  startsCold: z.boolean().default(false),
  coldConcurrency: z.int().positive().default(1),
  coldRatePerS: z.number().positive().default(10),
  /** Time from the first request while cold until warm, in milliseconds. */
  warmUpMs: z.number().nonnegative().default(1000),
  /** Delay of health answers, in milliseconds. */
  healthLagMs: z.number().nonnegative().default(0),
  /** Writes a line `effect <request id>` to standard output for each effect. */
  printEffects: z.boolean().default(false),
});
export type UpstreamOptions = z.infer<typeof UpstreamOptions>;
