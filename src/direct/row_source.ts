import type { Row } from "../rows/row.ts";
import type { RowChange } from "../rows/row_change.ts";

/** A table of the store whose rows change a VM's view of the deployment. */
export type RowSource = {
  table: string;
  /** @param rows - the whole table */
  onSnapshot: (rows: readonly Row[]) => void;
  /** @param changes - what has changed since */
  onChanges: (changes: readonly RowChange[]) => void;
};
