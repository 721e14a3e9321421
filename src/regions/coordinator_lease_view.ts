import type { ResultAsync } from "neverthrow";
import type { ChangeNotifier } from "../base/change_notifier.ts";
import type { TableError } from "../contracts/table_error.ts";
import type { TableOutcome } from "../contracts/table_outcome.ts";
import type { TableTransaction } from "../contracts/table_transaction.ts";

/** Read access and fenced writes for users of the coordinator lease. */
export interface CoordinatorLeaseView {
  /**
   * @returns the epoch of the lease and the time at which this router acquired
   * it, in milliseconds of its clock; undefined when this router must not act
   * as coordinator at this moment
   */
  held(): { epoch: number; acquiredAt: number } | undefined;

  /** Notifies when the lease was acquired, lost or released. */
  readonly changed: ChangeNotifier;

  /**
   * Writes a transaction with an added condition on the lease row, so that a
   * write of a former holder cannot take effect. Never runs at the same time as
   * a renewal of the lease, which would change that row. After an `unknown`
   * outcome the next renewal ensures that the write can no longer take effect,
   * so that a read after that renewal is conclusive.
   *
   * @param tx - conditions and writes
   * @param signal - ends the wait; the outcome is then `unknown`
   * @returns whether the transaction was committed, or an error; `not_held` if
   * this router does not hold the lease, so that nothing was sent
   */
  writeFenced(
    tx: TableTransaction,
    signal: AbortSignal,
  ): ResultAsync<TableOutcome, TableError | { kind: "not_held" }>;
}
