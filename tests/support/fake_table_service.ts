import { err, errAsync, okAsync, ResultAsync } from "neverthrow";
import type { TableError } from "../../src/contracts/table_error.ts";
import type { TableOutcome } from "../../src/contracts/table_outcome.ts";
import type { TableRow } from "../../src/contracts/table_row.ts";
import type { TableRows } from "../../src/contracts/table_rows.ts";
import type { TableService } from "../../src/contracts/table_service.ts";
import type { TableTransaction } from "../../src/contracts/table_transaction.ts";

type Fault =
  /** Nothing is applied, and the call fails as `unavailable`. */
  | "unavailable"
  /** The transaction is applied, but its answer is lost. */
  | "lost_answer"
  /** The transaction is not applied, and its outcome is unknown. */
  | "lost_request"
  /** The call does not return until the caller's signal aborts. */
  | "silent";

/** Table service in memory, with faults that a test injects. */
export class FakeTableService implements TableService {
  /** Whether every call fails as `unavailable`. */
  down = false;
  /**
   * Called once, before the next transaction that is applied, e.g. to commit a
   * conflicting write first.
   */
  beforeTransact: ((transaction: TableTransaction) => void) | undefined;
  /** Number of calls of `transact`. */
  transactions = 0;

  #revision = 0;
  readonly #rows = new Map<string, TableRow>();
  readonly #transactFaults: Fault[] = [];
  readonly #readFaults: Fault[] = [];

  /**
   * @param faults - faults of the next transactions, in order
   */
  failTransactions(...faults: Fault[]): void {
    this.#transactFaults.push(...faults);
  }

  /**
   * @param faults - faults of the next reads, in order
   */
  failReads(...faults: Exclude<Fault, "lost_answer" | "lost_request">[]): void {
    this.#readFaults.push(...faults);
  }

  /**
   * Writes a row at once, without conditions or faults.
   *
   * @param key - the row's key
   * @param value - the new value, null to delete the row
   */
  put(key: string, value: unknown): void {
    this.#revision += 1;
    this.#write(key, value);
  }

  /**
   * @param prefix - prefix of the keys
   * @returns key and value of each row that exists, sorted by key
   */
  values(prefix: string): [string, unknown][] {
    return [...this.#rows.values()]
      .filter((row) => row.key.startsWith(prefix) && row.value !== null)
      .sort((a, b) => a.key < b.key ? -1 : 1)
      .map((row) => [row.key, row.value]);
  }

  transact(
    transaction: TableTransaction,
    signal: AbortSignal,
  ): ResultAsync<TableOutcome, TableError> {
    this.transactions += 1;
    const fault = this.down ? "unavailable" : this.#transactFaults.shift();
    switch (fault) {
      case "unavailable":
        return errAsync({ kind: "unavailable", message: "down" });
      case "lost_request":
        return errAsync({ kind: "unknown", message: "request lost" });
      case "silent":
        return waitUntilAborted(signal);
      case "lost_answer":
        this.#apply(transaction);
        return errAsync({ kind: "unknown", message: "answer lost" });
      case undefined:
        return okAsync(this.#apply(transaction));
    }
  }

  readRows(
    query: { prefix: string; since: number },
    signal: AbortSignal,
  ): ResultAsync<TableRows, TableError> {
    const fault = this.down ? "unavailable" : this.#readFaults.shift();
    if (fault === "silent") return waitUntilAborted(signal);
    if (fault !== undefined) {
      return errAsync({ kind: "unavailable", message: "down" });
    }
    const rows = [...this.#rows.values()].filter((row) =>
      row.key.startsWith(query.prefix) && row.revision > query.since
    );
    return okAsync({ revision: this.#revision, rows: structuredClone(rows) });
  }

  #apply(transaction: TableTransaction): TableOutcome {
    const beforeApply = this.beforeTransact;
    this.beforeTransact = undefined;
    beforeApply?.(transaction);
    const conflicts = transaction.conditions
      .map(({ key, revision }) => ({ revision, row: this.#presentRow(key) }))
      .filter(({ revision, row }) => revision !== row.revision)
      .map(({ row }) => structuredClone(row));
    if (conflicts.length > 0) return { committed: false, conflicts };
    this.#revision += 1;
    for (const { key, value } of transaction.writes) this.#write(key, value);
    return { committed: true, revision: this.#revision };
  }

  #presentRow(key: string): TableRow {
    const row = this.#rows.get(key);
    return row === undefined || row.value === null
      ? { key, revision: 0, value: null }
      : row;
  }

  #write(key: string, value: unknown): void {
    // As on the wire, JSON drops fields that are undefined.
    const copy: unknown = JSON.parse(JSON.stringify(value));
    this.#rows.set(key, { key, revision: this.#revision, value: copy });
  }
}

function waitUntilAborted<T>(signal: AbortSignal): ResultAsync<T, TableError> {
  return new ResultAsync<T, TableError>(
    new Promise((resolve) => {
      const end = () =>
        resolve(err({ kind: "unknown", message: "no answer in time" }));
      if (signal.aborted) end();
      else signal.addEventListener("abort", end, { once: true });
    }),
  );
}
