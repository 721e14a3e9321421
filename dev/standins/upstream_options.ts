import { z } from "zod";

/** How one upstream stand-in behaves. */
export const UpstreamOptions = z.object({
  id: z.string(),
  service: z.string(),
  slots: z.int().positive().default(2),
  /** Mean time that a request holds a slot, in milliseconds. */
  serviceMs: z.number().nonnegative().default(2),
  /** Seed of the service times. */
  seed: z.int().default(1),
  checksGrants: z.boolean().default(true),
  /** Starts cold; bears one request at a time until warm. */
  startsCold: z.boolean().default(false),
  coldConcurrency: z.int().positive().default(1),
  coldRatePerS: z.number().positive().default(10),
  /** Time from the first request in cold state until warm, milliseconds. */
  warmUpMs: z.number().nonnegative().default(1000),
  /** Delay of health and load answers behind reality, milliseconds. */
  healthLagMs: z.number().nonnegative().default(0),
  /** Writes a line `effect <request id>` to standard output for each effect. */
  printEffects: z.boolean().default(false),
});
export type UpstreamOptions = z.infer<typeof UpstreamOptions>;
