import { z } from "zod";

/** An upstream's report of its own state; may be out of date or wrong. */
export const UpstreamHealth = z.looseObject({
  state: z.enum(["cold", "warm", "draining"]),
  /** Differs for each start of the upstream. */
  boot: z.string(),
});
export type UpstreamHealth = z.infer<typeof UpstreamHealth>;
