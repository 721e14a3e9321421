import { ResultAsync } from "neverthrow";
import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import type { Clock } from "../../src/base/clock.ts";
import type { RowStore } from "../../src/rows/row_store.ts";
import type { RowStoreError } from "../../src/rows/row_store_error.ts";

/** Time after which a client gives up a call beyond its wait at the store. */
const CLIENT_TIMEOUT_MS = 1000;

/** A row store whose connections can go silent without a reset. */
export class ConnectionFaults implements RowStore {
  readonly #store: RowStore;
  readonly #clock: Clock;
  readonly #killed = new ChangeNotifier();
  /** Whether new connections get no answers either. */
  silent = false;
  /** Idle connections that the next calls use and that are silent. */
  deadIdle = 0;
  /** Number of feed calls. */
  feedCalls = 0;

  constructor(store: RowStore, clock: Clock) {
    this.#store = store;
    this.#clock = clock;
  }

  /** No call in flight gets an answer any more. */
  killConnections(): void {
    this.#killed.notify();
  }

  transact(
    ...[transaction, signal]: Parameters<RowStore["transact"]>
  ): ReturnType<RowStore["transact"]> {
    return this.#call(
      0,
      signal,
      () => this.#store.transact(transaction, signal),
    );
  }

  readTable(
    ...[table, signal]: Parameters<RowStore["readTable"]>
  ): ReturnType<RowStore["readTable"]> {
    return this.#call(0, signal, () => this.#store.readTable(table, signal));
  }

  waitForChanges(
    ...[query, signal]: Parameters<RowStore["waitForChanges"]>
  ): ReturnType<RowStore["waitForChanges"]> {
    this.feedCalls++;
    return this.#call(
      query.waitMs,
      signal,
      () => this.#store.waitForChanges(query, signal),
    );
  }

  #call<T>(
    waitMs: number,
    signal: AbortSignal,
    run: () => ResultAsync<T, RowStoreError>,
  ): ResultAsync<T, RowStoreError> {
    return new ResultAsync(this.#race(waitMs, signal, run));
  }

  async #race<T>(
    waitMs: number,
    signal: AbortSignal,
    run: () => ResultAsync<T, RowStoreError>,
  ): Promise<Awaited<ResultAsync<T, RowStoreError>>> {
    const ended = new AbortController();
    const died = this.#killed.next(ended.signal).then(() => "died" as const);
    const isDead = this.silent || this.deadIdle > 0;
    if (this.deadIdle > 0) this.deadIdle--;
    const failed = ResultAsync.fromPromise(
      this.#clock.sleep(waitMs + CLIENT_TIMEOUT_MS, signal).then(() =>
        Promise.reject(new Error("no answer"))
      ),
      (): RowStoreError => ({ kind: "unknown", message: "no answer" }),
    );
    if (isDead) {
      ended.abort();
      return failed;
    }
    const first = await Promise.race([run(), failed, died]);
    ended.abort();
    return first === "died" ? failed : first;
  }
}
