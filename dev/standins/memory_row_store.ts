import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Clock } from "../../src/base/clock.ts";
import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import type { Row } from "../../src/rows/row.ts";
import type { RowChange } from "../../src/rows/row_change.ts";
import type { RowStore } from "../../src/rows/row_store.ts";
import type { RowStoreError } from "../../src/rows/row_store_error.ts";
import type { RowTransaction } from "../../src/rows/row_transaction.ts";
import { waitForChange } from "../../src/vms/wait_for_change.ts";

/** Time after which a call under the fault `silent` fails. */
const SILENT_CALL_TIMEOUT_MS = 1500;

/** What the store holds at one time. */
type Copy = {
  rows: ReadonlyMap<string, Row>;
  version: number;
  changes: readonly { table: string; change: RowChange }[];
};

/** Row store in memory that can simulate the faults of the real store. */
export class MemoryRowStore implements RowStore {
  readonly #clock: Clock;
  readonly rows = new Map<string, Row>();
  #changes: { table: string; change: RowChange }[] = [];
  readonly #changeNotifier = new ChangeNotifier();
  #version = 0;
  /**
   * Fault of every call. `down`: fails immediately; `silent`: gets no answer and
   * fails after `SILENT_CALL_TIMEOUT_MS`; `lost`: transactions take effect, but
   * their answers are lost.
   */
  fault: "none" | "down" | "silent" | "lost" = "none";
  /**
   * The change history starts after this version; feed calls from an earlier
   * one fail with `history_lost`.
   */
  forgotten = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Increases by one each time the store is restored from a copy. */
  era = 0;

  /**
   * @returns version of the newest change
   */
  get version(): number {
    return this.#version;
  }

  transact(
    transaction: RowTransaction,
    signal: AbortSignal,
  ): ReturnType<RowStore["transact"]> {
    const fault = this.#faultResult<never>(signal);
    if (fault !== undefined) return fault;
    const outcome = this.#apply(transaction);
    if (this.fault === "lost") {
      return errAsync({ kind: "unknown", message: "answer lost" });
    }
    return okAsync(outcome);
  }

  readTable(
    table: string,
    signal: AbortSignal,
  ): ReturnType<RowStore["readTable"]> {
    const fault = this.#faultResult<never>(signal);
    if (fault !== undefined) return fault;
    const rows = [...this.rows.values()].filter((row) => row.table === table);
    return okAsync({
      rows,
      version: this.#version,
      asOf: this.#clock.now(),
      era: this.era,
    });
  }

  waitForChanges(
    query: { table: string; after: number; waitMs: number },
    signal: AbortSignal,
  ): ReturnType<RowStore["waitForChanges"]> {
    const fault = this.#faultResult<never>(signal);
    if (fault !== undefined) return fault;
    if (query.after < this.forgotten || query.after > this.#version) {
      return errAsync({ kind: "history_lost", message: "forgotten" });
    }
    return new ResultAsync(this.#waitForTable(query, signal));
  }

  /**
   * @returns a copy of the rows and the change history
   */
  copy(): Copy {
    return {
      rows: new Map(this.rows),
      version: this.#version,
      changes: [...this.#changes],
    };
  }

  /**
   * Goes back to a copy and starts the next era. Versions after that of the copy
   * are assigned again.
   *
   * @param copy - what the store held before
   */
  restore({ rows, version, changes }: Copy): void {
    this.rows.clear();
    for (const [id, row] of rows) this.rows.set(id, row);
    this.#version = version;
    this.forgotten = Math.min(this.forgotten, version);
    this.#changes = [...changes];
    this.era++;
    this.#changeNotifier.notify();
  }

  /** Writes a row unconditionally. */
  put(table: string, key: string, value: string): void {
    this.#apply({
      expect: [],
      writes: [{ table, key, value: Buffer.from(value) }],
      remove: [],
    });
  }

  /** Removes a row unconditionally. */
  drop(table: string, key: string): void {
    this.#apply({ expect: [], writes: [], remove: [{ table, key }] });
  }

  async #waitForTable(
    { table, after, waitMs }: { table: string; after: number; waitMs: number },
    signal: AbortSignal,
  ): Promise<Awaited<ReturnType<RowStore["waitForChanges"]>>> {
    const deadlineAt = this.#clock.now() + waitMs;
    const changesAfter = () =>
      this.#changes.filter((entry) =>
        entry.table === table && versionOf(entry.change) > after
      ).map(({ change }) => change);
    while (changesAfter().length === 0 && !signal.aborted) {
      const ms = deadlineAt - this.#clock.now();
      if (ms <= 0) break;
      await waitForChange(
        { clock: this.#clock, ms, notifiers: [this.#changeNotifier] },
        signal,
      );
    }
    return okAsync({
      changes: changesAfter(),
      version: this.#version,
      asOf: this.#clock.now(),
      era: this.era,
    });
  }

  #faultResult<T>(
    signal: AbortSignal,
  ): ResultAsync<T, RowStoreError> | undefined {
    switch (this.fault) {
      case "none":
      case "lost":
        return undefined;
      case "down":
        return errAsync({ kind: "unavailable", message: "down" });
      case "silent":
        return new ResultAsync(
          this.#clock.sleep(SILENT_CALL_TIMEOUT_MS, signal).then(() =>
            errAsync({ kind: "unknown", message: "no answer" })
          ),
        );
    }
  }

  #apply(
    { expect, writes, remove }: RowTransaction,
  ):
    | { kind: "applied"; version: number; era: number }
    | { kind: "conflict"; rows: Row[]; era: number } {
    const rowId = (row: { table: string; key: string }) =>
      `${row.table}\u0000${row.key}`;
    const conditionsHold = expect.every((row) =>
      (this.rows.get(rowId(row))?.version ?? 0) === row.version
    );
    if (!conditionsHold) {
      return {
        kind: "conflict",
        rows: expect.map((row) => this.rows.get(rowId(row)))
          .filter((row) => row !== undefined),
        era: this.era,
      };
    }
    const version = ++this.#version;
    for (const write of writes) {
      const row: Row = { ...write, version };
      this.rows.set(rowId(row), row);
      this.#changes.push({
        table: row.table,
        change: { kind: "written", row },
      });
    }
    for (const { table, key } of remove) {
      this.rows.delete(rowId({ table, key }));
      this.#changes.push({ table, change: { kind: "removed", key, version } });
    }
    this.#changeNotifier.notify();
    return { kind: "applied", version, era: this.era };
  }
}

function versionOf(change: RowChange): number {
  return change.kind === "written" ? change.row.version : change.version;
}
