import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Clock } from "../../src/base/clock.ts";
import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import type { Row } from "../../src/rows/row.ts";
import type { RowChange } from "../../src/rows/row_change.ts";
import type { RowStore } from "../../src/rows/row_store.ts";
import type { RowStoreError } from "../../src/rows/row_store_error.ts";
import type { RowTransaction } from "../../src/rows/row_transaction.ts";
import { waitForChange } from "../../src/vms/wait_for_change.ts";

/** Calls that get no answer are given up after this time. */
const CALL_TIMEOUT_MS = 1500;

/** A row store in memory, with the faults of the real one. */
export class MemoryRowStore implements RowStore {
  readonly #clock: Clock;
  readonly rows = new Map<string, Row>();
  readonly #feed: { table: string; change: RowChange }[] = [];
  readonly #changed = new ChangeNotifier();
  #version = 0;
  /** What every call meets. */
  fault: "none" | "down" | "silent" | "lost" = "none";
  /** Versions up to this one have been forgotten. */
  forgotten = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

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
    const broken = this.#broken<never>(signal);
    if (broken !== undefined) return broken;
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
    const broken = this.#broken<never>(signal);
    if (broken !== undefined) return broken;
    const rows = [...this.rows.values()].filter((row) => row.table === table);
    return okAsync({ rows, version: this.#version });
  }

  waitForChanges(
    query: { table: string; after: number; waitMs: number },
    signal: AbortSignal,
  ): ReturnType<RowStore["waitForChanges"]> {
    const broken = this.#broken<never>(signal);
    if (broken !== undefined) return broken;
    if (query.after < this.forgotten) {
      return errAsync({ kind: "history_lost", message: "forgotten" });
    }
    return new ResultAsync(this.#wait(query, signal));
  }

  /** Writes a row without a condition. */
  put(table: string, key: string, value: string): void {
    this.#apply({
      expect: [],
      writes: [{ table, key, value: Buffer.from(value) }],
      remove: [],
    });
  }

  /** Removes a row without a condition. */
  drop(table: string, key: string): void {
    this.#apply({ expect: [], writes: [], remove: [{ table, key }] });
  }

  async #wait(
    { table, after, waitMs }: { table: string; after: number; waitMs: number },
    signal: AbortSignal,
  ): Promise<Awaited<ReturnType<RowStore["waitForChanges"]>>> {
    const until = this.#clock.now() + waitMs;
    const since = () =>
      this.#feed.filter((one) =>
        one.table === table && versionOf(one.change) > after
      ).map(({ change }) => change);
    while (since().length === 0 && !signal.aborted) {
      const ms = until - this.#clock.now();
      if (ms <= 0) break;
      await waitForChange(
        { clock: this.#clock, ms, notifiers: [this.#changed] },
        signal,
      );
    }
    return okAsync({ changes: since(), version: this.#version });
  }

  #broken<T>(signal: AbortSignal): ResultAsync<T, RowStoreError> | undefined {
    switch (this.fault) {
      case "none":
      case "lost":
        return undefined;
      case "down":
        return errAsync({ kind: "unavailable", message: "down" });
      case "silent":
        return new ResultAsync(
          this.#clock.sleep(CALL_TIMEOUT_MS, signal).then(() =>
            errAsync({ kind: "unknown", message: "no answer" })
          ),
        );
    }
  }

  #apply(
    { expect, writes, remove }: RowTransaction,
  ): { kind: "applied"; version: number } | { kind: "conflict"; rows: Row[] } {
    const id = (row: { table: string; key: string }) =>
      `${row.table}\u0000${row.key}`;
    const holds = expect.every((row) =>
      (this.rows.get(id(row))?.version ?? 0) === row.version
    );
    if (!holds) {
      return {
        kind: "conflict",
        rows: expect.map((row) => this.rows.get(id(row)))
          .filter((row) => row !== undefined),
      };
    }
    const version = ++this.#version;
    for (const write of writes) {
      const row: Row = { ...write, version };
      this.rows.set(id(row), row);
      this.#feed.push({ table: row.table, change: { kind: "written", row } });
    }
    for (const { table, key } of remove) {
      this.rows.delete(id({ table, key }));
      this.#feed.push({ table, change: { kind: "removed", key, version } });
    }
    this.#changed.notify();
    return { kind: "applied", version };
  }
}

function versionOf(change: RowChange): number {
  return change.kind === "written" ? change.row.version : change.version;
}
