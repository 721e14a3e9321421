import { err, ok, ResultAsync } from "neverthrow";
import type { TableError } from "../../src/contracts/table_error.ts";
import type { TableOutcome } from "../../src/contracts/table_outcome.ts";
import type { TableRows } from "../../src/contracts/table_rows.ts";
import type { TableService } from "../../src/contracts/table_service.ts";
import type { TableTransaction } from "../../src/contracts/table_transaction.ts";
import type { ManualClock } from "./manual_clock.ts";
import type { RegionFaults } from "./region_faults.ts";
import type { RegionProcess } from "./region_process.ts";

const MAX_LATE_MS = 3000;

/** A table service in memory that loses answers and applies writes late. */
export class RegionTable implements TableService {
  readonly rows = new Map<string, { revision: number; value: unknown }>();
  down = false;
  writes = 0;
  #revision = 0;
  readonly #clock: ManualClock;
  readonly #faults: RegionFaults;

  constructor(clock: ManualClock, faults: RegionFaults) {
    this.#clock = clock;
    this.#faults = faults;
  }

  transact(
    transaction: TableTransaction,
  ): ResultAsync<TableOutcome, TableError> {
    return new ResultAsync((async () => {
      const sent = structuredClone(transaction);
      await this.#clock.sleep(this.#faults.delayMs());
      if (this.down) {
        return err({ kind: "unavailable" as const, message: "down" });
      }
      if (this.#faults.lost()) {
        if (this.#faults.next() < 0.5) this.apply(sent);
        else void this.#applyLate(sent);
        return err({ kind: "unknown" as const, message: "answer lost" });
      }
      const outcome = this.apply(sent);
      await this.#clock.sleep(this.#faults.delayMs());
      return ok(outcome);
    })());
  }

  readRows(
    query: { prefix: string; since: number },
  ): ResultAsync<TableRows, TableError> {
    return new ResultAsync((async () => {
      await this.#clock.sleep(this.#faults.delayMs());
      if (this.down || this.#faults.lost()) {
        return err({ kind: "unavailable" as const, message: "down" });
      }
      const rows = [...this.rows]
        .filter(([key, row]) =>
          key.startsWith(query.prefix) && row.revision > query.since
        )
        .map(([key, row]) => ({ key, ...structuredClone(row) }));
      const revision = this.#revision;
      await this.#clock.sleep(this.#faults.delayMs());
      return ok({ revision, rows });
    })());
  }

  async #applyLate(transaction: TableTransaction): Promise<void> {
    await this.#clock.sleep(this.#faults.next() * MAX_LATE_MS);
    this.apply(transaction);
  }

  fail<T>(kind: TableError["kind"]): ResultAsync<T, TableError> {
    return new ResultAsync((async () => {
      await this.#clock.sleep(this.#faults.delayMs());
      return err({ kind, message: "cut off" });
    })());
  }

  /** Delivers a value once the process runs. */
  after<T>(process: RegionProcess, value: T): ResultAsync<T, TableError> {
    return new ResultAsync(process.running().then(() => ok(value)));
  }

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
      const named = new Set(transaction.conditions.map((item) => item.key));
      const lease = key.replace(/^assignments\/([^/]*).*/, "coordinators/$1");
      if (!named.has(key) || !named.has(lease)) {
        throw new Error(`write of ${key} is not fenced`);
      }
    }
    this.#revision += 1;
    this.writes += 1;
    for (const { key, value } of transaction.writes) {
      this.rows.set(key, {
        revision: this.#revision,
        value: structuredClone(value),
      });
    }
    return { committed: true, revision: this.#revision };
  }
}
