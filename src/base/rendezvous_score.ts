const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Returns the rendezvous hash of a chooser and an item. If each chooser takes
 * its highest-scoring items, the choices are spread evenly over the items, and
 * adding or removing an item changes at most one choice of each chooser.
 *
 * @param chooser - name of the chooser, e.g. a VM
 * @param item - name of an item that can be chosen, e.g. an upstream
 * @returns an unsigned 32-bit number, always the same for a pair
 */
export function rendezvousScore(chooser: string, item: string): number {
  let hash = FNV_OFFSET;
  for (const text of [chooser, "/", item]) {
    for (let index = 0; index < text.length; index++) {
      hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
  }
  // FNV-1a hardly mixes its last characters into the high bits; these are the
  // final mixing steps of MurmurHash3.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
