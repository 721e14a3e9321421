import type { TableTransaction } from "../contracts/table_transaction.ts";
import type { AssignmentRow } from "../shards/assignment_row.ts";

/** A change of one assignment row, ready to be written. */
export type PlannedWrite = {
  service: string;
  row: AssignmentRow;
  /** Does not contain the condition on the coordinator lease. */
  transaction: TableTransaction;
};
