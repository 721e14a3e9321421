import type { KeyRange } from "./key_range.ts";
import type { RangeDocument } from "./range_document.ts";
import { withUnknownOwner } from "./with_unknown_owner.ts";

/**
 * Assigns ranges to their owners again with new tokens, once the upstreams that
 * may hold their keys have released them or their leases have expired. These may
 * be unknown, as later rows are lost.
 *
 * @param document - owners of keys
 * @param isAffected - whether a range is assigned again
 * @returns the same document if no range is affected
 */
export function assignAgain(
  document: RangeDocument,
  isAffected: (range: KeyRange) => boolean,
): RangeDocument {
  if (!document.ranges.some(isAffected)) return document;
  let { nextFence } = document;
  const ranges = document.ranges.map((range) => {
    if (!isAffected(range)) return range;
    const { owner, fence, previous } = range;
    return withUnknownOwner({
      ...range,
      fence: nextFence++,
      previous: [...previous, { ...owner, fence }],
    });
  });
  return { ...document, nextFence, ranges };
}
