import { z } from "zod";

/** What an upstream says of itself; may lag or mislead. */
export const UpstreamHealth = z.looseObject({
  state: z.enum(["cold", "warm", "draining"]),
  /** Changes with each start of the upstream. */
  boot: z.string(),
});
export type UpstreamHealth = z.infer<typeof UpstreamHealth>;
