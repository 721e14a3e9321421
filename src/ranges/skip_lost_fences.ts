import type { RangeDocument } from "./range_document.ts";

/**
 * Above the number of tokens that leaders can have used since the copy of the
 * row: a plan uses at most four per key (owners, pieces, moves and merges of
 * ranges of at least one key), 262,144 in all, and there is one plan in 300 ms,
 * so it covers 19 minutes. A copy is some seconds old. Tokens stay exact integers
 * for 9 million restores.
 */
const LOST_FENCES = 1_000_000_000;

/**
 * Skips the fencing tokens that leaders may have used after the copy was taken.
 *
 * @param document - owners of keys
 * @param nextFence - a token above all that are known to have been used
 * @returns the document with a token that has never been used
 */
export function skipLostFences(
  document: RangeDocument,
  nextFence = 1,
): RangeDocument {
  return {
    ...document,
    nextFence: Math.max(document.nextFence, nextFence) + LOST_FENCES,
  };
}
