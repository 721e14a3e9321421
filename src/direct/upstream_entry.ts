import { z } from "zod";
import { UpstreamAddress } from "./upstream_address.ts";

const MAX_NAME_LENGTH = 200;
/** Keeps the capacity of one upstream comparable with that of the others. */
const MAX_SLOTS = 10_000;
const MAX_WARM_UP_MS = 3600 * 1000;

const Name = z.string().min(1).max(MAX_NAME_LENGTH);

/** Registry entry that an upstream writes about itself. */
export const UpstreamEntry = z.object({
  /** Sent in a header, so printable ASCII characters only. */
  id: Name.regex(/^[\x21-\x7e]+$/),
  /**
   * Time of its start, in Unix milliseconds. A new incarnation owns none of the
   * keys of the one before.
   */
  incarnation: z.number().int().nonnegative(),
  /** Counts the entries that the incarnation has written. */
  heartbeat: z.number().int().nonnegative(),
  service: Name,
  address: UpstreamAddress,
  failureDomain: Name,
  /** Requests that it runs concurrently. */
  slots: z.number().int().positive().max(MAX_SLOTS),
  state: z.enum(["ready", "draining"]),
  /** Milliseconds for which it stays cold after the entry was written. */
  warmUpMs: z.number().nonnegative().max(MAX_WARM_UP_MS),
});
export type UpstreamEntry = z.infer<typeof UpstreamEntry>;
