import type { Clock } from "../base/clock.ts";
import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Logger } from "../base/logger.ts";
import { waitForChange } from "../vms/wait_for_change.ts";
import { withTimeout } from "../vms/with_timeout.ts";
import { ChangeHistory } from "./change_history.ts";
import type { FollowTimes } from "./follow_times.ts";
import { RecentRows } from "./recent_rows.ts";
import type { Row } from "./row.ts";
import type { RowChange } from "./row_change.ts";
import type { RowCodec } from "./row_codec.ts";
import type { RowOrigin } from "./row_origin.ts";
import type { RowStore } from "./row_store.ts";
import type { RowStoreError } from "./row_store_error.ts";
import type { StoreOutage } from "./store_outage.ts";
import type { TableChanges } from "./table_changes.ts";
import { versionOfChange } from "./version_of_change.ts";

type Options = {
  store: RowStore;
  table: string;
  clock: Clock;
  logger: Logger;
  times: () => FollowTimes;
  /**
   * Pause in milliseconds between feed calls; the next call returns all changes
   * made during the pause.
   */
  batchMs: () => number;
  /** Time after which changes must be in force, in milliseconds. */
  boundMs: number;
  /**
   * Decodes the rows of a table whose rows are large and change a little at a
   * time; relays then send differences.
   */
  codec?: RowCodec;
  /** Called with all rows after the whole table has been read. */
  onSnapshot: (rows: readonly Row[], origin: RowOrigin) => void;
  /** Called with new changes, in ascending order of versions. */
  onChanges: (changes: readonly RowChange[], origin: RowOrigin) => void;
  /**
   * Called when the store answers again after an outage, before the rows of
   * that response are applied. Several reports may be of one outage.
   */
  onReconnected?: (outage: StoreOutage) => void;
};

/** Delay after a failed call; doubles up to `MAX_RETRY_DELAY_MS`. */
const MIN_RETRY_DELAY_MS = 100;
/**
 * Delays vary by a factor of 0.5 to 1.5, so that VMs that lost the store at the
 * same time do not retry at the same time.
 */
const MIN_JITTER_FACTOR = 0.5;
/** A VM must be current 3 s after the end of an outage. */
const MAX_RETRY_DELAY_MS = 800;
/**
 * Several responses of a relay report the same outage: ends that differ by at
 * most this time belong to one outage.
 */
const SAME_OUTAGE_WINDOW_MS = 500;
/**
 * A relay may receive a change later than this VM by the pause between its feed
 * calls (100 ms), one call to the store and one message between regions. A
 * relay that is further behind was suspended and has not noticed it.
 */
const MAX_RELAY_LAG_MS = 300;
/**
 * How long a relay reports an outage after its end. Entries that expired in an
 * outage are registered again 2 s after it, and a VM may query the relay up to
 * 1.7 s later.
 */
const OUTAGE_REPORT_MS = 5000;

/**
 * Follows one table: reads the whole table, then receives its changes from the
 * store's feed, or from a relay while that knows them well enough. Reads the
 * whole table again if the store no longer keeps the changes since the known
 * version, or has been restored from an older copy (a later era). Responses of an
 * earlier era are ignored.
 */
export class TableFollower {
  readonly #opts: Options;
  readonly #history = new ChangeHistory();
  /** Undefined if relays send whole rows of this table. */
  readonly #recentRows: RecentRows | undefined;
  /** Fires when the relay no longer sends changes. */
  readonly #relayLost = new ChangeNotifier();
  #version: number | undefined;
  /** Era of the store to which the version and the known rows belong. */
  #era = 0;
  /** Monotonic milliseconds at which the version last increased. */
  #versionChangedAt = Number.NEGATIVE_INFINITY;
  /** Monotonic milliseconds as of which the known rows are complete. */
  #confirmedAt = Number.NEGATIVE_INFINITY;
  /** Wall-clock milliseconds that correspond to `#confirmedAt`. */
  #confirmedWallMs = Number.NEGATIVE_INFINITY;
  #overdueSince: number | undefined;
  #reachable = true;
  #reconnectedAt = Number.NEGATIVE_INFINITY;
  /** When the last call that failed was sent. */
  #failedAt = Number.NEGATIVE_INFINITY;
  /** Whether a relay has answered the last query. */
  #relayed = false;

  /**
   * @param opts - the store, the table, and callbacks that receive its rows
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.#recentRows = opts.codec === undefined
      ? undefined
      : new RecentRows(opts.codec);
  }

  /**
   * @returns versions of the rows to which a relay may send differences, by
   * key; undefined if it must send whole rows
   */
  get knownRows(): Record<string, number> | undefined {
    return this.#recentRows?.versions;
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
   * @returns era of the store to which the version belongs
   */
  get era(): number {
    return this.#era;
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
   * @returns milliseconds since the known rows were last known to be current,
   * Infinity before the first read. Monotonic time stands still while the process
   * is suspended, so the clock that has advanced more is used.
   */
  get ageMs(): number {
    const { clock } = this.#opts;
    return Math.max(
      clock.now() - this.#confirmedAt,
      clock.wallTime().getTime() - this.#confirmedWallMs,
    );
  }

  /**
   * Logs when the rows may have been older than the bound, and when they are
   * known to be current again.
   *
   * @returns whether they have exceeded the bound since the last call
   */
  checkAge(): boolean {
    const { clock, logger, table, boundMs } = this.#opts;
    const { ageMs } = this;
    if (
      !this.synced || ageMs > boundMs === (this.#overdueSince !== undefined)
    ) {
      return false;
    }
    if (this.#overdueSince === undefined) {
      this.#overdueSince = clock.now() - ageMs;
      logger.warn({
        table,
        version: this.#version,
        ageMs: Math.round(ageMs),
        reachable: this.#reachable,
        relayed: this.#relayed,
      }, "table may be out of date");
      return true;
    }
    logger.info({
      table,
      version: this.#version,
      latenessMs: Math.round(clock.now() - this.#overdueSince),
    }, "table is current again");
    this.#overdueSince = undefined;
    return false;
  }

  /**
   * Follows the table until the signal aborts.
   *
   * @param signal - stops the follower
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#opts;
    let retryDelayMs = MIN_RETRY_DELAY_MS;
    const isAborted = () => signal.aborted;
    while (!isAborted()) {
      await this.#waitWhileRelayed(signal);
      const err = this.#version === undefined
        ? await this.#readAll(signal)
        : await this.#readChanges(this.#version, signal);
      if (isAborted()) return;
      if (err === undefined) {
        retryDelayMs = MIN_RETRY_DELAY_MS;
        await clock.sleep(this.#opts.batchMs(), signal);
        continue;
      }
      if (err.kind === "history_lost") {
        this.#version = undefined;
        continue;
      }
      await clock.sleep(
        retryDelayMs * (MIN_JITTER_FACTOR + Math.random()),
        signal,
      );
      retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
    }
  }

  /**
   * Returns the changes that a peer has missed.
   *
   * @param known - version up to which the peer knows the changes
   * @param era - era of the store to which this version belongs
   * @param knownRows - versions of the rows to which the peer can apply
   * differences, by key
   * @returns the later changes; undefined if this VM's feed may be behind, its
   * history does not reach back far enough, or it knows another era
   */
  changesSince(
    known: number,
    era = 0,
    knownRows: Readonly<Record<string, number>> = {},
  ): TableChanges | undefined {
    if (era !== this.#era) return undefined;
    const { ageMs } = this;
    const changes = this.#history.since(known);
    const isUpToDate = this.#reachable &&
      ageMs <= this.#opts.times().relayMaxAgeMs;
    if (!isUpToDate || changes === undefined || this.#version === undefined) {
      return undefined;
    }
    const regainedMs = this.#opts.clock.now() - this.#reconnectedAt;
    return {
      version: this.#version,
      ...(era === 0 ? {} : { era }),
      ageMs,
      changes: changes.map((change) => {
        if (change.kind === "removed") {
          return { key: change.key, version: change.version };
        }
        const { key, version, value } = change.row;
        const base = knownRows[key];
        const delta = base === undefined
          ? undefined
          : this.#recentRows?.deltaFrom(key, base);
        return delta === undefined
          ? { key, version, value: Buffer.from(value).toString("base64") }
          : { key, version, delta };
      }),
      ...(regainedMs <= OUTAGE_REPORT_MS ? { regainedMs } : {}),
    };
  }

  /**
   * Applies changes from a relay. The store is not called until they are older
   * than `maxAgeMs`, unless the relay is behind this VM.
   *
   * @param relayed - changes after the version that this VM sent in its query
   * @param sentAt - monotonic milliseconds at which the query was sent
   */
  onRelayedChanges(relayed: TableChanges, sentAt: number): void {
    const { table, clock, logger } = this.#opts;
    // The whole table is being read.
    if (this.#version === undefined) return;
    // Either this VM or the relay has not read the restored table yet.
    if ((relayed.era ?? 0) !== this.#era) {
      this.onRelayLost();
      return;
    }
    const knownForMs = clock.now() - this.#versionChangedAt;
    if (relayed.version < this.#version && knownForMs > MAX_RELAY_LAG_MS) {
      logger.info(
        { table, version: this.#version, relayed: relayed.version, knownForMs },
        "relay is behind; following the store instead",
      );
      this.onRelayLost();
      return;
    }
    const changes = this.#decode(relayed.changes);
    if (changes === undefined) {
      logger.warn(
        { table, version: this.#version, relayed: relayed.version },
        "difference from the relay cannot be applied; following the store instead",
      );
      this.onRelayLost();
      return;
    }
    this.#relayed = true;
    // An outage that ended before the known rows were confirmed is over for this
    // VM, whenever the relay noticed its end.
    const reconnectedAt = sentAt - (relayed.regainedMs ?? Infinity);
    if (
      reconnectedAt > this.#confirmedAt &&
      reconnectedAt > this.#reconnectedAt + SAME_OUTAGE_WINDOW_MS
    ) this.#onReconnected(reconnectedAt);
    this.#applyFrom(
      "relay",
      changes,
      relayed.version,
      sentAt - relayed.ageMs,
    );
  }

  /** Returns undefined if a difference cannot be applied. */
  #decode(changes: TableChanges["changes"]): RowChange[] | undefined {
    const { table } = this.#opts;
    const decoded: RowChange[] = [];
    for (const { key, version, value, delta } of changes) {
      if (value === undefined && delta === undefined) {
        decoded.push({ kind: "removed", key, version });
        continue;
      }
      const bytes = delta === undefined
        ? Buffer.from(value ?? "", "base64")
        : this.#recentRows?.apply(key, delta);
      if (bytes === undefined) return undefined;
      decoded.push({
        kind: "written",
        row: { table, key, version, value: bytes },
      });
    }
    return decoded;
  }

  /** Returns to the store's feed, as no relay sends changes. */
  onRelayLost(): void {
    this.#relayed = false;
    this.#relayLost.notify();
  }

  async #waitWhileRelayed(signal: AbortSignal): Promise<void> {
    const { clock, times } = this.#opts;
    while (this.#relayed && this.#version !== undefined && !signal.aborted) {
      const ms = times().maxAgeMs - this.ageMs;
      if (ms <= 0) return;
      await waitForChange({ clock, ms, notifiers: [this.#relayLost] }, signal);
    }
  }

  async #readAll(signal: AbortSignal): Promise<RowStoreError | undefined> {
    const { clock, store, table, onSnapshot } = this.#opts;
    const sentAt = clock.now();
    const read = await store.readTable(table, signal);
    if (read.isErr()) return this.#onReadFailed(read.error, sentAt, signal);
    const { era } = read.value;
    if (era < this.#era) return earlierEra(era);
    const restored = this.synced && era > this.#era;
    this.#era = era;
    this.#version = read.value.version;
    this.#versionChangedAt = clock.now();
    this.#history.reset(read.value.version);
    this.#recentRows?.clear();
    for (const row of read.value.rows) this.#recentRows?.add(row);
    this.#onReadSucceeded();
    if (restored) this.#onRestored();
    const latenessMs = this.ageMs;
    this.#confirm(read.value.asOf);
    this.#deliver(() =>
      onSnapshot(read.value.rows, {
        source: "whole_read",
        latenessMs,
        era,
        ...(restored ? { restored } : {}),
      })
    );
    return undefined;
  }

  async #readChanges(
    after: number,
    signal: AbortSignal,
  ): Promise<RowStoreError | undefined> {
    const { clock, store, table, times } = this.#opts;
    const { feedWaitMs, responseTimeoutMs, maxAgeMs } = times();
    // The older the known rows are, the sooner a dead connection is noticed.
    const waitMs = Math.max(0, Math.min(feedWaitMs, maxAgeMs - this.ageMs));
    const sentAt = clock.now();
    const read = await withTimeout(
      { clock, ms: waitMs + responseTimeoutMs },
      signal,
      (combined) => store.waitForChanges({ table, after, waitMs }, combined),
    );
    if (read.isErr()) return this.#onReadFailed(read.error, sentAt, signal);
    const { changes, version, asOf, era } = read.value;
    if (era < this.#era) return earlierEra(era);
    this.#onReadSucceeded();
    // Versions of another era cannot be compared with the known one.
    if (era > this.#era) {
      return { kind: "history_lost", message: `store is in era ${era}` };
    }
    this.#applyFrom("feed", changes, version, asOf);
    return undefined;
  }

  /** Applies new changes; the relay and the feed may send the same ones. */
  #applyFrom(
    source: RowOrigin["source"],
    changes: readonly RowChange[],
    version: number,
    asOf: number,
  ): void {
    const latenessMs = this.ageMs;
    this.#confirm(asOf);
    const known = this.#version ?? Number.NEGATIVE_INFINITY;
    const fresh = changes.filter((change) => versionOfChange(change) > known);
    if (version > known) {
      this.#version = version;
      this.#versionChangedAt = this.#opts.clock.now();
    }
    if (fresh.length === 0) return;
    this.#history.add(fresh);
    for (const change of fresh) {
      if (change.kind === "written") this.#recentRows?.add(change.row);
      else this.#recentRows?.remove(change.key);
    }
    const era = this.#era;
    this.#deliver(() =>
      this.#opts.onChanges(fresh, { source, latenessMs, era })
    );
  }

  /** Entries that the copy lacks are written again, as after an outage. */
  #onRestored(): void {
    const { clock, logger, table } = this.#opts;
    this.#onReconnected(clock.now());
    logger.warn(
      { table, era: this.#era, version: this.#version },
      "table read again, as the store was restored from an older copy",
    );
  }

  #confirm(asOf: number): void {
    const { clock } = this.#opts;
    if (asOf <= this.#confirmedAt) return;
    this.#confirmedAt = asOf;
    this.#confirmedWallMs = clock.wallTime().getTime() - (clock.now() - asOf);
  }

  /** A receiver that fails must not end the feed for all later changes. */
  #deliver(call: () => void): void {
    const { table, logger } = this.#opts;
    try {
      call();
    } catch (err) {
      logger.error({ err, table }, "changes of a table could not be applied");
    }
  }

  #onReadSucceeded(): void {
    const { clock, logger, table } = this.#opts;
    if (this.#reachable) return;
    this.#reachable = true;
    this.#onReconnected(clock.now());
    logger.info({ table, version: this.#version }, "table feed reconnected");
  }

  #onReconnected(endedAt: number): void {
    this.#reconnectedAt = endedAt;
    this.#opts.onReconnected?.({ endedAt, failedAt: this.#failedAt });
  }

  #onReadFailed(
    err: RowStoreError,
    sentAt: number,
    signal: AbortSignal,
  ): RowStoreError {
    const { logger, table } = this.#opts;
    // The process is stopping, so the error does not mean an outage.
    if (signal.aborted) return err;
    if (err.kind !== "history_lost") this.#failedAt = sentAt;
    if (err.kind === "history_lost") {
      logger.warn(
        { table, version: this.#version },
        "store no longer keeps the table's changes; reading it again",
      );
    } else if (this.#reachable) {
      this.#reachable = false;
      logger.warn(
        { table, version: this.#version, err },
        "table feed disconnected; will retry",
      );
    }
    return err;
  }
}

function earlierEra(era: number): RowStoreError {
  return { kind: "unknown", message: `late response of era ${era}` };
}
