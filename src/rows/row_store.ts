import type { ResultAsync } from "neverthrow";
import type { Row } from "./row.ts";
import type { RowChange } from "./row_change.ts";
import type { RowStoreError } from "./row_store_error.ts";
import type { RowTransaction } from "./row_transaction.ts";

/**
 * A linearizable store of rows with conditional transactions and a change
 * feed for each table. Each result carries the store's era, which increases when
 * the store is restored from an older copy. Versions are comparable only within
 * one era. The era is 0 for a store that does not report one.
 */
export interface RowStore {
  /**
   * Applies a transaction if its conditions hold.
   *
   * @param transaction - conditions and changes
   * @param signal - stops waiting; the transaction may still be applied
   * @returns the version of the transaction, or the current rows of `expect` if
   * a condition did not hold. If the era is later than that of the expected
   * versions, the transaction may have replaced rows that the caller has not
   * read
   */
  transact(
    transaction: RowTransaction,
    signal: AbortSignal,
  ): ResultAsync<
    | { kind: "applied"; version: number; era: number }
    | { kind: "conflict"; rows: Row[]; era: number },
    RowStoreError
  >;

  /**
   * Reads a whole table.
   *
   * @param table - name of the table
   * @param signal - stops waiting
   * @returns all rows, the version from which the feed continues, and the
   * monotonic milliseconds as of which the rows are complete
   */
  readTable(
    table: string,
    signal: AbortSignal,
  ): ResultAsync<
    { rows: Row[]; version: number; asOf: number; era: number },
    RowStoreError
  >;

  /**
   * Waits until the table has changed.
   *
   * @param query - `after` is the version up to which changes are known,
   * `waitMs` the longest wait at the store, in milliseconds
   * @param signal - stops waiting
   * @returns the changes in order, the version from which to continue, and the
   * monotonic milliseconds as of which the changes are complete
   */
  waitForChanges(
    query: { table: string; after: number; waitMs: number },
    signal: AbortSignal,
  ): ResultAsync<
    { changes: RowChange[]; version: number; asOf: number; era: number },
    RowStoreError
  >;
}
