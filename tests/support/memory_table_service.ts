import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { Clock } from "../../src/base/clock.ts";
import type { TableError } from "../../src/contracts/table_error.ts";
import type { TableOutcome } from "../../src/contracts/table_outcome.ts";
import type { TableRow } from "../../src/contracts/table_row.ts";
import type { TableRows } from "../../src/contracts/table_rows.ts";
import type { TableService } from "../../src/contracts/table_service.ts";
import type { TableTransaction } from "../../src/contracts/table_transaction.ts";
import type { PausableClock } from "./pausable_clock.ts";

/** Resolves when the signal aborts, even while the process is paused. */
function untilAborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve();
    else signal.addEventListener("abort", () => resolve(), { once: true });
  });
}

/** Table service in memory, with the faults that routers must tolerate. */
export class MemoryTableService {
  /** Whether every call fails as `unavailable`; nothing is applied. */
  down = false;
  /** VMs whose calls do not reach the service and get no answer. */
  readonly disconnectedVms = new Set<string>();
  /** VMs whose calls are applied but get no answer. */
  readonly answerLossVms = new Set<string>();
  /** Delay of a request, and again of its answer, in milliseconds. */
  delayMs = 1;
  /** Reads sent so far, by prefix. */
  readonly reads: string[] = [];

  readonly #clock: Clock;
  readonly #rows = new Map<string, TableRow>();
  #revision = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param vm - the calling VM, by which faults are selected
   * @param process - clock of the calling process; while that is paused, no
   * call returns
   * @returns the service as this caller sees it
   */
  client(vm: string, process?: PausableClock): TableService {
    return {
      transact: (transaction, signal) => {
        const sent = structuredClone(transaction);
        return new ResultAsync(
          this.#call({ vm, process }, signal, () => this.apply(sent)),
        );
      },
      readRows: (query, signal) => {
        this.reads.push(query.prefix);
        return new ResultAsync(
          this.#call({ vm, process }, signal, () => this.#read(query)),
        );
      },
    };
  }

  /** Applies a transaction at once, without faults. */
  apply(transaction: TableTransaction): TableOutcome {
    const conflicts = transaction.conditions
      .filter(({ key, revision }) => this.#revisionOf(key) !== revision)
      .map(({ key }) => this.get(key));
    if (conflicts.length > 0) return { committed: false, conflicts };
    this.#revision += 1;
    for (const { key, value } of structuredClone(transaction.writes)) {
      this.#rows.set(key, { key, revision: this.#revision, value });
    }
    return { committed: true, revision: this.#revision };
  }

  /** Reads one row at once, without faults. */
  get(key: string): TableRow {
    const row = this.#rows.get(key);
    if (row === undefined || row.value === null) {
      return { key, revision: 0, value: null };
    }
    return structuredClone(row);
  }

  /** Keys of every present row. */
  keys(): string[] {
    return [...this.#rows.values()].filter((row) => row.value !== null)
      .map((row) => row.key);
  }

  #revisionOf(key: string): number {
    return this.get(key).revision;
  }

  #read(query: { prefix: string; since: number }): TableRows {
    return {
      revision: this.#revision,
      rows: structuredClone(
        [...this.#rows.values()].filter((row) =>
          row.key.startsWith(query.prefix) && row.revision > query.since
        ),
      ),
    };
  }

  async #call<T>(
    caller: { vm: string; process: PausableClock | undefined },
    signal: AbortSignal,
    apply: () => T,
  ): Promise<Result<T, TableError>> {
    const unanswered = untilAborted(signal).then(() =>
      err({ kind: "unknown" as const, message: "no answer" })
    );
    const answer = this.#deliver(caller, apply);
    const result = await Promise.race([answer, unanswered]);
    await caller.process?.untilRunning();
    return result;
  }

  async #deliver<T>(
    caller: { vm: string },
    apply: () => T,
  ): Promise<Result<T, TableError>> {
    const never = new Promise<never>(() => undefined);
    if (this.disconnectedVms.has(caller.vm)) return await never;
    await this.#clock.sleep(this.delayMs);
    if (this.down) return err({ kind: "unavailable", message: "down" });
    const value = apply();
    await this.#clock.sleep(this.delayMs);
    if (
      this.answerLossVms.has(caller.vm) || this.disconnectedVms.has(caller.vm)
    ) {
      return await never;
    }
    return ok(value);
  }
}
