import type { Clock } from "../base/clock.ts";
import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Logger } from "../base/logger.ts";
import { waitForChange } from "../vms/wait_for_change.ts";
import { ChangeHistory } from "./change_history.ts";
import type { Row } from "./row.ts";
import type { RowChange } from "./row_change.ts";
import type { RowStore } from "./row_store.ts";
import type { RowStoreError } from "./row_store_error.ts";
import type { TableChanges } from "./table_changes.ts";
import { versionOfChange } from "./version_of_change.ts";

type Options = {
  store: RowStore;
  table: string;
  clock: Clock;
  logger: Logger;
  /** Longest wait of the next feed call at the store, in milliseconds. */
  waitMs: () => number;
  /**
   * Changes that follow each other within this time, in milliseconds, come
   * with one call.
   */
  gatherMs: () => number;
  /** The whole table was read. */
  onSnapshot: (rows: readonly Row[]) => void;
  onChanges: (changes: readonly RowChange[]) => void;
  /** The store answers again. Called before the rows of that answer. */
  onReconnected?: () => void;
};

/** First pause after a failed call; doubled up to `MAX_PAUSE_MS`. */
const MIN_PAUSE_MS = 100;
/** VMs that lost the store together come back apart: 0.5 to 1.5 pauses. */
const MIN_JITTER = 0.5;
/** Well below the time in which changes must be in force (2.5 s). */
const MAX_PAUSE_MS = 800;
/**
 * A feed whose last answer is older may have lost its connection. Feed calls
 * of a relay wait for 1 s.
 */
const MAX_RELAYED_AGE_MS = 1600;
/** Several answers of a relay report the same outage. */
const SAME_OUTAGE_MS = 500;
/**
 * A relay learns of a change later than this VM by the time in which it gathers
 * changes (100 ms), one call to the store and one message between regions. One
 * that is further behind was frozen and does not know it.
 */
const MAX_RELAY_LAG_MS = 300;
/**
 * Entries that lapsed in an outage are back 2 s after it; a VM hears of its end
 * through a relay that may be asked up to 1.7 s later.
 */
const REPORTED_OUTAGE_MS = 5000;

/**
 * Follows one table: reads it whole, then takes its changes from the feed, or
 * from a relay while there is one. Reads it whole again when the feed's
 * history is lost.
 */
export class TableFollower {
  readonly #opts: Options;
  readonly #history = new ChangeHistory();
  /** Fires when the relay is lost. */
  readonly #relayLost = new ChangeNotifier();
  #version: number | undefined;
  /** When the version last grew. */
  #learnedAt = Number.NEGATIVE_INFINITY;
  #confirmedAt = Number.NEGATIVE_INFINITY;
  #reachable = true;
  #reconnectedAt = Number.NEGATIVE_INFINITY;
  #relayedUntil = Number.NEGATIVE_INFINITY;

  /**
   * @param opts - the store, the table, and who gets its rows
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * @returns the table's name
   */
  get table(): string {
    return this.#opts.table;
  }

  /**
   * @returns the version up to which changes are known, undefined before the
   * table was read
   */
  get version(): number | undefined {
    return this.#version;
  }

  /**
   * @returns whether the table has been read at least once
   */
  get synced(): boolean {
    return this.#confirmedAt !== Number.NEGATIVE_INFINITY;
  }

  /**
   * @returns whether the store answered the last feed call
   */
  get reachable(): boolean {
    return this.#reachable;
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
      await this.#untilRelayEnds(signal);
      const err = this.#version === undefined
        ? await this.#readAll(signal)
        : await this.#readChanges(this.#version, signal);
      if (isOver()) return;
      if (err === undefined) {
        pauseMs = MIN_PAUSE_MS;
        await clock.sleep(this.#opts.gatherMs(), signal);
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

  /**
   * @param known - version up to which a peer knows the changes
   * @returns what the peer has missed; undefined if this VM does not know it,
   * because its feed may be behind or its history is too short
   */
  changesSince(known: number): TableChanges | undefined {
    const now = this.#opts.clock.now();
    const changes = this.#history.since(known);
    const current = this.#reachable &&
      now - this.#confirmedAt <= MAX_RELAYED_AGE_MS;
    if (!current || changes === undefined || this.#version === undefined) {
      return undefined;
    }
    const regainedMs = now - this.#reconnectedAt;
    return {
      version: this.#version,
      changes: changes.map((change) =>
        change.kind === "removed"
          ? { key: change.key, version: change.version }
          : {
            key: change.row.key,
            version: change.row.version,
            value: Buffer.from(change.row.value).toString("base64"),
          }
      ),
      ...(regainedMs <= REPORTED_OUTAGE_MS ? { regainedMs } : {}),
    };
  }

  /**
   * Takes changes from a relay. The feed is not called until `until`, unless
   * the relay is behind this VM.
   *
   * @param relayed - changes after the version that this VM knew
   * @param until - monotonic milliseconds by which the relay sends more
   */
  onRelayed(relayed: TableChanges, until: number): void {
    const { table, clock, logger } = this.#opts;
    // The table is being read again.
    if (this.#version === undefined) return;
    const knownForMs = clock.now() - this.#learnedAt;
    if (relayed.version < this.#version && knownForMs > MAX_RELAY_LAG_MS) {
      logger.info(
        { table, version: this.#version, relayed: relayed.version, knownForMs },
        "relay is behind",
      );
      this.onRelayLost();
      return;
    }
    this.#relayedUntil = until;
    const reconnectedAt = clock.now() - (relayed.regainedMs ?? Infinity);
    if (reconnectedAt > this.#reconnectedAt + SAME_OUTAGE_MS) {
      this.#reconnectedAt = reconnectedAt;
      this.#opts.onReconnected?.();
    }
    this.#apply(
      relayed.changes.map(({ key, version, value }) =>
        value === undefined ? { kind: "removed", key, version } : {
          kind: "written",
          row: { table, key, version, value: Buffer.from(value, "base64") },
        }
      ),
      relayed.version,
    );
  }

  /** No relay sends changes any more. */
  onRelayLost(): void {
    this.#relayedUntil = Number.NEGATIVE_INFINITY;
    this.#relayLost.notify();
  }

  async #untilRelayEnds(signal: AbortSignal): Promise<void> {
    const { clock } = this.#opts;
    for (;;) {
      const ms = this.#relayedUntil - clock.now();
      if (ms <= 0 || signal.aborted || this.#version === undefined) return;
      await waitForChange({ clock, ms, notifiers: [this.#relayLost] }, signal);
    }
  }

  async #readAll(signal: AbortSignal): Promise<RowStoreError | undefined> {
    const { store, table, onSnapshot } = this.#opts;
    const read = await store.readTable(table, signal);
    if (read.isErr()) return this.#lost(read.error, signal);
    this.#version = read.value.version;
    this.#learnedAt = this.#opts.clock.now();
    this.#history.reset(read.value.version);
    this.#confirm();
    onSnapshot(read.value.rows);
    return undefined;
  }

  async #readChanges(
    after: number,
    signal: AbortSignal,
  ): Promise<RowStoreError | undefined> {
    const { store, table } = this.#opts;
    const waitMs = this.#opts.waitMs();
    const read = await store.waitForChanges({ table, after, waitMs }, signal);
    if (read.isErr()) return this.#lost(read.error, signal);
    this.#confirm();
    this.#apply(read.value.changes, read.value.version);
    return undefined;
  }

  /** Applies what is new; the relay and the feed may bring the same. */
  #apply(changes: readonly RowChange[], version: number): void {
    const known = this.#version ?? Number.NEGATIVE_INFINITY;
    const fresh = changes.filter((change) => versionOfChange(change) > known);
    if (version > known) {
      this.#version = version;
      this.#learnedAt = this.#opts.clock.now();
    }
    if (fresh.length === 0) return;
    this.#history.add(fresh);
    this.#opts.onChanges(fresh);
  }

  #confirm(): void {
    const { clock, logger, table } = this.#opts;
    this.#confirmedAt = clock.now();
    if (this.#reachable) return;
    this.#reachable = true;
    this.#reconnectedAt = clock.now();
    this.#opts.onReconnected?.();
    logger.info({ table, version: this.#version }, "table feed reconnected");
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
