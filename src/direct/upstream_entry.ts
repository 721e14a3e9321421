import { z } from "zod";

/** What an upstream says of itself in the registry. */
export const UpstreamEntry = z.object({
  id: z.string(),
  /** Unix milliseconds of its start; a new start holds nothing of before. */
  incarnation: z.number().int(),
  service: z.string(),
  /** `IP:PORT` */
  address: z.string(),
  failureDomain: z.string(),
  /** Requests that it runs at a time. */
  slots: z.number().int().positive(),
  state: z.enum(["ready", "draining"]),
  /** How much longer it stays cold, as of the entry. */
  warmUpMs: z.number().nonnegative(),
});
export type UpstreamEntry = z.infer<typeof UpstreamEntry>;
