import type { Row } from "../rows/row.ts";
import type { RowChange } from "../rows/row_change.ts";

/** A table of the store, and the handlers that apply its rows to a view. */
export type RowSource = {
  table: string;
  /** @param rows - all rows of the table */
  onSnapshot: (rows: readonly Row[]) => void;
  /**
   * @param changes - changes since the snapshot or the previous call, in order
   */
  onChanges: (changes: readonly RowChange[]) => void;
};
