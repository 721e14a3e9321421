import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { Row } from "./row.ts";
import type { RowChange } from "./row_change.ts";
import type { RowStore } from "./row_store.ts";
import type { RowStoreError } from "./row_store_error.ts";

type Options = {
  store: RowStore;
  table: string;
  clock: Clock;
  logger: Logger;
  /** Longest wait of one feed call at the store, in milliseconds. */
  waitMs: number;
  /** Changes that follow each other within this time come with one call. */
  gatherMs: number;
  /** The whole table was read. */
  onSnapshot: (rows: readonly Row[]) => void;
  onChanges: (changes: readonly RowChange[]) => void;
  /** The store answers again. Called before the rows of that answer. */
  onRegained?: () => void;
};

/** First pause after a failed call; doubled up to `MAX_PAUSE_MS`. */
const MIN_PAUSE_MS = 100;
/** VMs that lost the store together come back apart: 0.5 to 1.5 pauses. */
const MIN_JITTER = 0.5;
/** Well below the time in which changes must be in force (2.5 s). */
const MAX_PAUSE_MS = 800;

/**
 * Follows one table: reads it whole, then takes its changes from the feed.
 * Reads it whole again when the feed's history is lost.
 */
export class TableFollower {
  readonly #opts: Options;
  #version: number | undefined;
  #confirmedAt = Number.NEGATIVE_INFINITY;
  #reachable = true;

  /**
   * @param opts - the store, the table, and who is told of its rows
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * @returns monotonic milliseconds of the last answer of the store
   */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /**
   * @returns whether the table has been read at least once
   */
  get synced(): boolean {
    return this.#confirmedAt !== Number.NEGATIVE_INFINITY;
  }

  /**
   * Follows the table until the signal aborts.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#opts;
    let pauseMs = MIN_PAUSE_MS;
    const isOver = () => signal.aborted;
    while (!isOver()) {
      const err = this.#version === undefined
        ? await this.#readAll(signal)
        : await this.#readChanges(this.#version, signal);
      if (isOver()) return;
      if (err === undefined) {
        pauseMs = MIN_PAUSE_MS;
        await clock.sleep(this.#opts.gatherMs, signal);
        continue;
      }
      if (err.kind === "history_lost") {
        this.#version = undefined;
        continue;
      }
      await clock.sleep(pauseMs * (MIN_JITTER + Math.random()), signal);
      pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
    }
  }

  async #readAll(signal: AbortSignal): Promise<RowStoreError | undefined> {
    const { store, table, onSnapshot } = this.#opts;
    const read = await store.readTable(table, signal);
    if (read.isErr()) return this.#lost(read.error, signal);
    this.#version = read.value.version;
    this.#confirm();
    onSnapshot(read.value.rows);
    return undefined;
  }

  async #readChanges(
    after: number,
    signal: AbortSignal,
  ): Promise<RowStoreError | undefined> {
    const { store, table, waitMs, onChanges } = this.#opts;
    const read = await store.waitForChanges({ table, after, waitMs }, signal);
    if (read.isErr()) return this.#lost(read.error, signal);
    this.#version = read.value.version;
    this.#confirm();
    if (read.value.changes.length > 0) onChanges(read.value.changes);
    return undefined;
  }

  #confirm(): void {
    const { clock, logger, table } = this.#opts;
    this.#confirmedAt = clock.now();
    if (this.#reachable) return;
    this.#reachable = true;
    this.#opts.onRegained?.();
    logger.info({ table, version: this.#version }, "table feed regained");
  }

  #lost(err: RowStoreError, signal: AbortSignal): RowStoreError {
    const { logger, table } = this.#opts;
    // The process stops; nothing is wrong with the store.
    if (signal.aborted) return err;
    if (err.kind === "history_lost") {
      logger.warn({ table, version: this.#version }, "table history lost");
    } else if (this.#reachable) {
      this.#reachable = false;
      logger.warn({ table, version: this.#version, err }, "table feed lost");
    }
    return err;
  }
}
