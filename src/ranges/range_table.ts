import type { KeyRange } from "./key_range.ts";
import type { RangeDocument } from "./range_document.ts";

/** The owners of a service's keys, as read from or written to their row. */
export class RangeTable {
  /**
   * @param version - version of the row
   * @param document - contents of the row
   * @param era - era of the store to which the version belongs
   */
  constructor(
    readonly version: number,
    readonly document: RangeDocument,
    readonly era = 0,
  ) {}

  /**
   * @param key - a key
   * @returns the range that contains the key, or undefined if it has no owner
   */
  find(key: number): KeyRange | undefined {
    const { ranges } = this.document;
    let low = 0;
    let high = ranges.length - 1;
    while (low <= high) {
      const middle = (low + high) >> 1;
      const range = ranges[middle];
      if (range === undefined) return undefined;
      if (key < range.first) high = middle - 1;
      else if (key > range.last) low = middle + 1;
      else return range;
    }
    return undefined;
  }
}
