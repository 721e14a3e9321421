import { z } from "zod";

/** Keys are numbers from 0 up to this one. */
const MAX_KEY = 65_535;
const Key = z.number().int().min(0).max(MAX_KEY);
/** One incarnation of an upstream. */
const UpstreamIncarnation = z.object({
  id: z.string(),
  incarnation: z.number().int(),
});

/**
 * A contiguous range of keys with one owner. `previous` lists owners that may
 * still hold the keys; the owner is granted them only after those have released
 * them or their leases have expired. `unfenced` lists owners whose leases have
 * expired and that have not received the token of a later owner since: an order
 * sent before may still reach them. The owner can be one of them until it has its
 * grant.
 */
export const KeyRange = z.object({
  first: Key,
  last: Key,
  owner: UpstreamIncarnation,
  /** Fencing token of the owner's grant. */
  fence: z.number().int().positive(),
  previous: z.array(
    UpstreamIncarnation.extend({ fence: z.number().int().positive() }),
  ),
  unfenced: z.array(UpstreamIncarnation).optional(),
});
export type KeyRange = z.infer<typeof KeyRange>;
