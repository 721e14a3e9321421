import { z } from "zod";

/** Keys are numbers from 0 up to this one. */
const MAX_KEY = 65_535;
const Key = z.number().int().min(0).max(MAX_KEY);
/** One life of an upstream. */
const Holder = z.object({ id: z.string(), incarnation: z.number().int() });

/**
 * Neighbouring keys with one owner. `previous` are owners that may still hold
 * the keys; the owner gets them only after these have given them up.
 */
export const KeyRange = z.object({
  first: Key,
  last: Key,
  owner: Holder,
  /** Fencing token of the owner's grant. */
  fence: z.number().int().positive(),
  previous: z.array(Holder.extend({ fence: z.number().int().positive() })),
});
export type KeyRange = z.infer<typeof KeyRange>;
