import { err, ok, ResultAsync } from "neverthrow";
import type { TableError } from "../../src/contracts/table_error.ts";
import type { TableOutcome } from "../../src/contracts/table_outcome.ts";
import type { TableRows } from "../../src/contracts/table_rows.ts";
import type { TableService } from "../../src/contracts/table_service.ts";
import type { TableTransaction } from "../../src/contracts/table_transaction.ts";
import type { ManualClock } from "./manual_clock.ts";
import type { RandomFaults } from "./random_faults.ts";
import type { SimulatedProcess } from "./simulated_process.ts";

/** Longest delay of a write that is applied after its call has failed. */
const MAX_LATE_WRITE_DELAY_MS = 3000;

/**
 * Table service in memory that delays and loses answers, and applies some
 * writes late. It rejects writes that are not fenced by the coordinator lease.
 */
export class SimulatedTableService implements TableService {
  readonly rows = new Map<string, { revision: number; value: unknown }>();
  down = false;
  committedTransactions = 0;
  #revision = 0;
  readonly #clock: ManualClock;
  readonly #faults: RandomFaults;

  constructor(clock: ManualClock, faults: RandomFaults) {
    this.#clock = clock;
    this.#faults = faults;
  }

  transact(
    transaction: TableTransaction,
  ): ResultAsync<TableOutcome, TableError> {
    return new ResultAsync((async () => {
      const sent = structuredClone(transaction);
      await this.#clock.sleep(this.#faults.nextDelayMs());
      if (this.down) {
        return err({ kind: "unavailable" as const, message: "down" });
      }
      if (this.#faults.isLost()) {
        if (this.#faults.next() < 0.5) this.apply(sent);
        else void this.#applyLate(sent);
        return err({ kind: "unknown" as const, message: "answer lost" });
      }
      const outcome = this.apply(sent);
      await this.#clock.sleep(this.#faults.nextDelayMs());
      return ok(outcome);
    })());
  }

  readRows(
    query: { prefix: string; since: number },
  ): ResultAsync<TableRows, TableError> {
    return new ResultAsync((async () => {
      await this.#clock.sleep(this.#faults.nextDelayMs());
      if (this.down || this.#faults.isLost()) {
        return err({ kind: "unavailable" as const, message: "down" });
      }
      const rows = [...this.rows]
        .filter(([key, row]) =>
          key.startsWith(query.prefix) && row.revision > query.since
        )
        .map(([key, row]) => ({ key, ...structuredClone(row) }));
      const revision = this.#revision;
      await this.#clock.sleep(this.#faults.nextDelayMs());
      return ok({ revision, rows });
    })());
  }

  async #applyLate(transaction: TableTransaction): Promise<void> {
    await this.#clock.sleep(this.#faults.next() * MAX_LATE_WRITE_DELAY_MS);
    this.apply(transaction);
  }

  /** Fails after a message delay, as a call of a VM without store contact. */
  failAfterDelay<T>(kind: TableError["kind"]): ResultAsync<T, TableError> {
    return new ResultAsync((async () => {
      await this.#clock.sleep(this.#faults.nextDelayMs());
      return err({ kind, message: "disconnected" });
    })());
  }

  /** Returns a value once the process is not paused. */
  deliver<T>(process: SimulatedProcess, value: T): ResultAsync<T, TableError> {
    return new ResultAsync(process.untilRunning().then(() => ok(value)));
  }

  /**
   * Applies a transaction at once, without faults.
   *
   * @throws Error if a written row lacks a condition on its revision or on that
   * of the coordinator lease of its region
   */
  apply(transaction: TableTransaction): TableOutcome {
    const conflicts = transaction.conditions
      .filter(({ key, revision }) =>
        (this.rows.get(key)?.revision ?? 0) !== revision
      )
      .map(({ key }) => ({
        key,
        ...structuredClone(
          this.rows.get(key) ?? { revision: 0, value: null },
        ),
      }));
    if (conflicts.length > 0) return { committed: false, conflicts };
    for (const { key } of transaction.writes) {
      const conditionKeys = new Set(
        transaction.conditions.map((item) => item.key),
      );
      const leaseKey = key.replace(
        /^assignments\/([^/]*).*/,
        "coordinators/$1",
      );
      if (!conditionKeys.has(key) || !conditionKeys.has(leaseKey)) {
        throw new Error(
          `write of ${key} lacks a condition on its row or coordinator lease`,
        );
      }
    }
    this.#revision += 1;
    this.committedTransactions += 1;
    for (const { key, value } of transaction.writes) {
      this.rows.set(key, {
        revision: this.#revision,
        value: structuredClone(value),
      });
    }
    return { committed: true, revision: this.#revision };
  }
}
