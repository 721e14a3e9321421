import type { ResultAsync } from "neverthrow";
import type { ChangeNotifier } from "../base/change_notifier.ts";
import type { TableError } from "../contracts/table_error.ts";
import type { TableOutcome } from "../contracts/table_outcome.ts";
import type { TableTransaction } from "../contracts/table_transaction.ts";

/** The coordinator lease of this router's region, as its users see it. */
export interface CoordinatorLeaseView {
  /**
   * @returns the epoch and the start of the lease, in milliseconds of this
   * router's clock; undefined when this router must not act as coordinator at
   * this moment
   */
  held(): { epoch: number; since: number } | undefined;

  /** Notifies when the lease was taken, lost or given up. */
  readonly changed: ChangeNotifier;

  /**
   * Adds the condition on the lease row to a transaction, so that a write of a
   * former holder cannot take effect. Never runs at the same time as a renewal
   * of the lease, which would change that row. After an `unknown` outcome the
   * next renewal makes sure that the write cannot take effect any more, so that
   * reading back after it is conclusive.
   *
   * @param tx - conditions and writes
   * @param signal - gives up waiting; the outcome is then `unknown`
   * @returns whether it was committed, or why that is not known; `not_held`
   * when nothing was sent
   */
  writeFenced(
    tx: TableTransaction,
    signal: AbortSignal,
  ): ResultAsync<TableOutcome, TableError | { kind: "not_held" }>;
}
