import type { Row } from "../rows/row.ts";
import type { RowChange } from "../rows/row_change.ts";
import type { RowOrigin } from "../rows/row_origin.ts";

/** A table of the store, and the handlers that apply its rows to a view. */
export type RowSource = {
  table: string;
  /**
   * @param rows - all rows of the table
   * @param origin - how they were read
   */
  onSnapshot: (rows: readonly Row[], origin: RowOrigin) => void;
  /**
   * @param changes - changes since the snapshot or the previous call, in order
   * @param origin - how they were read
   */
  onChanges: (changes: readonly RowChange[], origin: RowOrigin) => void;
};
