import type { KeyRange } from "./key_range.ts";
import { UNKNOWN_OWNER } from "./unknown_owner.ts";

/**
 * Adds an unknown owner to a range that has a new token.
 *
 * @param range - a range that is not granted yet
 * @returns the range, which is granted only once the orders of all earlier
 * leaders have expired
 */
export function withUnknownOwner(range: KeyRange): KeyRange {
  const known = range.previous.filter(({ id }) => id !== UNKNOWN_OWNER.id);
  return {
    ...range,
    previous: [{ ...UNKNOWN_OWNER, fence: range.fence }, ...known],
  };
}
