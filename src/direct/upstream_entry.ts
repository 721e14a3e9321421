import { z } from "zod";

/** Registry entry that an upstream writes about itself. */
export const UpstreamEntry = z.object({
  id: z.string(),
  /**
   * Time of its start, in Unix milliseconds. A new incarnation owns none of the
   * keys of the one before.
   */
  incarnation: z.number().int(),
  service: z.string(),
  /** `IP:PORT` */
  address: z.string(),
  failureDomain: z.string(),
  /** Requests that it runs concurrently. */
  slots: z.number().int().positive(),
  state: z.enum(["ready", "draining"]),
  /** Milliseconds for which it stays cold after the entry was written. */
  warmUpMs: z.number().nonnegative(),
});
export type UpstreamEntry = z.infer<typeof UpstreamEntry>;
