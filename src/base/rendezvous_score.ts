const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Score of an item for an owner. The items with the highest scores of each owner
 * are spread evenly over items, and change by one if one item comes or goes.
 *
 * @param owner - who picks
 * @param item - what can be picked
 * @returns an unsigned 32-bit number, always the same for a pair
 */
export function rendezvousScore(owner: string, item: string): number {
  let hash = FNV_OFFSET;
  for (const text of [owner, "/", item]) {
    for (let index = 0; index < text.length; index++) {
      hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
  }
  // FNV hardly spreads its last characters over the high bits.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
