import { incarnationKey } from "./incarnation_key.ts";
import type { KeyRange } from "./key_range.ts";

/** Bounds the row of the owners, which the store limits to 64 KiB. */
const MAX_OWNERS = 2;

/**
 * Combines lists of owners that have not received the token of a later owner.
 *
 * @param owner - owner of the range, if it has its grant, which carries the token
 * @param lists - lists to combine, the most recent owners last
 * @returns the most recent incarnations, without the owner; undefined if there
 * is none
 */
export function unfencedOwners(
  owner: KeyRange["owner"] | undefined,
  ...lists: KeyRange["unfenced"][]
): KeyRange["unfenced"] {
  const found = new Map<string, KeyRange["owner"]>();
  for (const { id, incarnation } of lists.flatMap((list) => list ?? [])) {
    found.set(incarnationKey({ id, incarnation }), { id, incarnation });
  }
  if (owner !== undefined) found.delete(incarnationKey(owner));
  return found.size === 0 ? undefined : [...found.values()].slice(-MAX_OWNERS);
}
