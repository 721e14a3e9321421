import type { ResultAsync } from "neverthrow";
import type { Row } from "./row.ts";
import type { RowChange } from "./row_change.ts";
import type { RowStoreError } from "./row_store_error.ts";
import type { RowTransaction } from "./row_transaction.ts";

/**
 * A linearizable store of rows with conditional transactions and a change
 * feed for each table.
 */
export interface RowStore {
  /**
   * @param transaction - conditions and changes
   * @param signal - gives up waiting; the transaction may be applied
   * @returns the version of the transaction, or the present versions of the
   * rows in `expect` if a condition did not hold
   */
  transact(
    transaction: RowTransaction,
    signal: AbortSignal,
  ): ResultAsync<
    { kind: "applied"; version: number } | { kind: "conflict"; rows: Row[] },
    RowStoreError
  >;

  /**
   * @param table - the table
   * @param signal - gives up waiting
   * @returns all rows, and a version from which the feed continues
   */
  readTable(
    table: string,
    signal: AbortSignal,
  ): ResultAsync<{ rows: Row[]; version: number }, RowStoreError>;

  /**
   * Waits until the table has changed.
   *
   * @param query - `after` is the version up to which changes are known,
   * `waitMs` the longest wait at the store, in milliseconds
   * @param signal - gives up waiting
   * @returns the changes in order, and the version from which to continue
   */
  waitForChanges(
    query: { table: string; after: number; waitMs: number },
    signal: AbortSignal,
  ): ResultAsync<{ changes: RowChange[]; version: number }, RowStoreError>;
}
