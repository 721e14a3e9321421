import type { ResultAsync } from "neverthrow";
import type { TableError } from "./table_error.ts";
import type { TableOutcome } from "./table_outcome.ts";
import type { TableRows } from "./table_rows.ts";
import type { TableTransaction } from "./table_transaction.ts";

/** The platform's transactional table service. */
export interface TableService {
  /**
   * @param transaction - conditions and writes, applied together or not at all
   * @param signal - cancels the call; its outcome is then `unknown`
   * @returns whether it was committed, or the error
   */
  transact(
    transaction: TableTransaction,
    signal: AbortSignal,
  ): ResultAsync<TableOutcome, TableError>;

  /**
   * @param query - `prefix` of the keys; only rows with a revision greater
   * than `since` are returned
   * @param signal - cancels the call
   * @returns the rows and the store's revision; deleted rows have a null value
   */
  readRows(
    query: { prefix: string; since: number },
    signal: AbortSignal,
  ): ResultAsync<TableRows, TableError>;
}
