import type { RangeDocument } from "./range_document.ts";

/**
 * Above the number of tokens that leaders can have used since the copy of the
 * row: a plan uses at most four per key (owners, pieces, moves and merges of
 * ranges of at least one key), 262,144 in all, and there is one plan in 300 ms,
 * so it covers 381 plans in 114 s. A copy is some seconds old. Tokens stay exact
 * integers for 90 million restores.
 */
const LOST_FENCES = 100_000_000;

/**
 * Skips the fencing tokens that leaders may have used after the copy was taken.
 * The gap grows with the number of restores since the row was written, as several
 * may go back to the same copy, with a leader that has skipped tokens in between.
 *
 * @param document - owners of keys, from an earlier era of the store
 * @param era - the store's present era
 * @returns the document with a token that has never been used
 */
export function skipLostFences(
  document: RangeDocument,
  era: number,
): RangeDocument {
  const restores = Math.max(1, era - (document.era ?? 0));
  return {
    ...document,
    nextFence: document.nextFence + restores * LOST_FENCES,
  };
}
