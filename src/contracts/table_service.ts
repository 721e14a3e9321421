import type { ResultAsync } from "neverthrow";
import type { TableError } from "./table_error.ts";
import type { TableOutcome } from "./table_outcome.ts";
import type { TableRows } from "./table_rows.ts";
import type { TableTransaction } from "./table_transaction.ts";

/** The platform's transactional table service. */
export interface TableService {
  /**
   * @param transaction - conditions and writes, applied together or not at all
   * @param signal - gives up waiting; the outcome is then `unknown`
   * @returns whether it was committed, or why that is not known
   */
  transact(
    transaction: TableTransaction,
    signal: AbortSignal,
  ): ResultAsync<TableOutcome, TableError>;

  /**
   * @param query - `prefix` of the keys; `since` leaves out rows whose revision
   * is not greater
   * @param signal - gives up waiting
   * @returns the changed rows, deleted ones with a null value
   */
  readRows(
    query: { prefix: string; since: number },
    signal: AbortSignal,
  ): ResultAsync<TableRows, TableError>;
}
