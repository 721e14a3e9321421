import { z } from "zod";
import type { Clock } from "../base/clock.ts";
import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Logger } from "../base/logger.ts";
import type { RowStore } from "../rows/row_store.ts";
import { waitForChange } from "../vms/wait_for_change.ts";

/** Above the order grace period of several leaders in a row. */
const MAX_EARLIER_ORDERS_MS = 60_000;
const MAX_NAMED_LEADERS = 8;

const ordersMs = z.number().nonnegative().max(MAX_EARLIER_ORDERS_MS);
const Identity = z.object({
  vm: z.string(),
  incarnation: z.string(),
  peerUrl: z.string(),
});
type Identity = z.infer<typeof Identity>;
const LeaseRow = Identity.extend({
  schema: z.literal(1),
  /** Whether the leader has released the lease. */
  released: z.boolean().optional(),
  /**
   * Milliseconds for which earlier leaders may still send orders. Readers count
   * from the time at which they read the row, which is later than the write.
   */
  earlierOrdersMs: ordersMs.optional(),
  /** The earlier leaders, each with its share of that time. */
  earlierLeaders: z.array(Identity.extend({ ordersMs }))
    .max(MAX_NAMED_LEADERS).optional(),
  /** The same time for leaders that `earlierLeaders` does not name. */
  unnamedOrdersMs: ordersMs.optional(),
  /** The same time for leaders whose rows a restore of the store has lost. */
  lostOrdersMs: ordersMs.optional(),
  /**
   * Era of the store for which the row was written; absent in era 0. A row read
   * in a later era comes from an older copy, and later leaders may be unknown.
   */
  era: z.number().int().nonnegative().optional(),
});
type LeaseRow = z.infer<typeof LeaseRow>;
type Options = {
  store: RowStore;
  table: string;
  self: Identity;
  /** Processor cores of this VM; undefined if unknown. */
  cores: number | undefined;
  clock: Clock;
  logger: Logger;
  signal: AbortSignal;
};
type EarlierLeader = Identity & {
  /** Monotonic milliseconds after which it sends no orders. */
  ordersEndAt: number;
};
type Term = {
  /** Monotonic milliseconds at which this VM knew that it is the leader. */
  startedAt: number;
  /** Whether no VM, as far as known, led before. */
  isFirst: boolean;
};
type ObservedRow = {
  row: LeaseRow | undefined;
  version: number;
  /** Era of the store to which the version belongs. */
  era: number;
  /** Monotonic milliseconds at which this version was first read. */
  firstReadAt: number;
};

/** Key of the leader's row; an outer name, as stored by earlier versions. */
const KEY = "keeper";
const RENEW_INTERVAL_MS = 500;
/** A leader that has not renewed its row for this long is considered lost. */
const LEASE_TTL_MS = 1500;
/**
 * The same for a row that a restore has brought back. The leader's first call to
 * the restored store may have to wait for the timeout of the one before (1.5 s).
 */
const RESTORED_LEASE_TTL_MS = 3500;
/** The leader of 90 VMs uses up to 0.27 cores. */
const MIN_LEADER_CORES = 0.4;
/**
 * Delay before a VM below `MIN_LEADER_CORES` acquires the lease, so that larger
 * VMs acquire it first. Shorter than the poll interval.
 */
const SMALL_VM_DELAY_MS = 400;
/** Interval at which the row is read while the leader is unreachable. */
const POLL_INTERVAL_MS = 500;
const POLL_JITTER_MS = 150;
const MAX_STANDBY_WAIT_MS = 60_000;
/**
 * A leader that cannot reach the store sends orders for this long after its
 * last renewal. Its successor waits as long, plus the duration of a grant,
 * before it treats the grants of those orders as expired.
 */
const ORDER_GRACE_MS = 12_000;
/**
 * A larger change of the offset between wall clock and monotonic clock means
 * that the process was suspended.
 */
const MAX_CLOCK_DRIFT_MS = 700;

/**
 * Holds or competes for the leader lease, a row in the store that makes one VM
 * the leader of key ranges. Other VMs read the row only while the leader is
 * unreachable.
 */
export class LeaderLease {
  /** Fires when the lease is acquired or lost, and when its holder changes. */
  readonly changed = new ChangeNotifier();
  readonly #opts: Options;
  readonly #leaderBecameUnreachable = new ChangeNotifier();
  #observed: ObservedRow | undefined;
  #leaderUnreachable = true;
  #held = false;
  /** Whether this VM has read or written a row of a leader. */
  #rowSeen = false;
  #term: Term | undefined;
  /** Whether this VM has released the lease, as it is stopping. */
  #released = false;
  #confirmedAt = Number.NEGATIVE_INFINITY;
  #offsetAtRenewalMs = 0;
  /** Leaders before this VM that may still send orders. */
  #earlierLeaders: EarlierLeader[] = [];
  /**
   * Monotonic milliseconds after which leaders that `#earlierLeaders` does not
   * contain send no orders. The leases that they granted may last longer.
   */
  #unnamedLeadersEndAt = Number.NEGATIVE_INFINITY;
  /** The same for leaders whose rows a restore of the store may have lost. */
  #lostLeadersEndAt = Number.NEGATIVE_INFINITY;
  /** Era of the row that this VM writes; undefined unless it leads. */
  #heldEra: number | undefined;
  /** Era in which a write of the row was last acknowledged. */
  #confirmedEra: number | undefined;
  /** Era of the first response that this VM has read. */
  #firstEra: number | undefined;

  /**
   * @param opts - the store, and how this VM identifies itself in the row
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.#offsetAtRenewalMs = this.#clockOffsetMs();
  }

  /**
   * @returns whether this VM holds the lease, as of its last write or read
   */
  get held(): boolean {
    return this.#held;
  }

  /**
   * @returns whether this VM is the leader and has renewed the lease within its
   * TTL and in the store's present era; if not, another VM that reaches the store may have acquired it
   */
  get confirmed(): boolean {
    return this.maySendOrders && this.#confirmedEra === this.era &&
      this.#opts.clock.now() - this.#confirmedAt < LEASE_TTL_MS;
  }

  /**
   * @returns the term of this VM as the leader; undefined while it is not the
   * leader. Each acquisition of the lease starts another term
   */
  get term(): Term | undefined {
    return this.#held ? this.#term : undefined;
  }

  /**
   * @returns whether this VM may send orders: it renewed the lease within the
   * grace period and has not been suspended since
   */
  get maySendOrders(): boolean {
    if (!this.#held) return false;
    if (
      Math.abs(this.#clockOffsetMs() - this.#offsetAtRenewalMs) >
        MAX_CLOCK_DRIFT_MS
    ) return false;
    return this.#opts.clock.now() - this.#confirmedAt < ORDER_GRACE_MS;
  }

  /**
   * @returns monotonic milliseconds after which no earlier leader sends orders
   */
  get predecessorOrdersEndAt(): number {
    return Math.max(
      this.#unnamedLeadersEndAt,
      ...this.#earlierLeaders.map(({ ordersEndAt }) => ordersEndAt),
    );
  }

  /**
   * @returns monotonic milliseconds after which no leader sends orders whose
   * writes the store may have lost in a restore; -Infinity if there was none
   */
  get lostOrdersEndAt(): number {
    return this.#lostLeadersEndAt;
  }

  /**
   * @returns era of the store as of the last read or write of the row
   */
  get era(): number {
    return this.#observed?.era ?? 0;
  }

  /**
   * @returns milliseconds since the start of the last renewal of the lease
   */
  get renewalAgeMs(): number {
    return Math.round(this.#opts.clock.now() - this.#confirmedAt);
  }

  /**
   * @returns the leader's peer URL; undefined if there is no leader or it is
   * this VM
   */
  get leaderUrl(): string | undefined {
    const row = this.#observed?.row;
    const isOther = row?.incarnation !== this.#opts.self.incarnation;
    return this.#held || !isOther || row?.released === true
      ? undefined
      : row?.peerUrl;
  }

  /** Records that no leader is known, or that it did not accept a report. */
  onLeaderUnreachable(): void {
    if (!this.#leaderUnreachable) {
      this.#opts.logger.warn(
        { keeper: this.#observed?.row?.vm, version: this.#observed?.version },
        "leader unreachable or stepped down; reading the lease row",
      );
    }
    this.#leaderUnreachable = true;
    this.#leaderBecameUnreachable.notify();
  }

  /**
   * @returns earlier leaders that may still send orders; empty unless this VM
   * holds the lease
   */
  get activeEarlierLeaders(): readonly Identity[] {
    const now = this.#opts.clock.now();
    return this.#held
      ? this.#earlierLeaders.filter(({ ordersEndAt }) => now < ordersEndAt)
      : [];
  }

  /**
   * Records that an earlier leader sends no more orders.
   *
   * @param incarnation - the process that led
   */
  onEarlierLeaderStopped(incarnation: string): void {
    const { clock, logger } = this.#opts;
    const stopped = this.#earlierLeaders.find((leader) =>
      leader.incarnation === incarnation
    );
    if (stopped === undefined) return;
    const { vm, ordersEndAt } = stopped;
    const now = clock.now();
    const ordersMs = Math.round(ordersEndAt - now);
    logger.info({ vm, ordersMs }, "earlier leader sends no orders");
    this.#raiseUnnamedEnd(Math.min(now, ordersEndAt));
    this.#earlierLeaders = this.#earlierLeaders.filter((leader) =>
      leader !== stopped
    );
  }

  /**
   * Steps down at the request of a successor, unless this VM has renewed the
   * lease within its TTL.
   *
   * @returns whether this VM sends no orders from now on
   */
  stepDown(): boolean {
    if (this.confirmed) return false;
    if (this.#held) this.#lose("the successor asked this VM to step down");
    return true;
  }

  /** Renews the lease, or stands by to acquire it, until the signal aborts. */
  async run(): Promise<void> {
    const { clock, signal } = this.#opts;
    while (!signal.aborted) {
      if (this.#held) {
        await this.#renew();
        await clock.sleep(RENEW_INTERVAL_MS, signal);
      } else if (this.#leaderUnreachable) {
        if (await this.#tryAcquire()) {
          if (this.#released) await this.release();
          continue;
        }
        await clock.sleep(
          POLL_INTERVAL_MS + Math.random() * POLL_JITTER_MS,
          signal,
        );
      } else {
        await waitForChange({
          clock,
          ms: MAX_STANDBY_WAIT_MS,
          notifiers: [this.#leaderBecameUnreachable],
        }, signal);
      }
    }
  }

  /**
   * Releases the lease, so that another VM need not wait until it expires. This
   * VM does not acquire it again.
   */
  async release(): Promise<void> {
    this.#released = true;
    if (!this.#held) return;
    const row: LeaseRow = { ...this.#row(), released: true };
    this.#lose("released by this VM");
    const signal = AbortSignal.timeout(LEASE_TTL_MS);
    const written = await this.#writeReleased(row, signal);
    if (written?.kind !== "conflict") return;
    // A renewal that was in flight may have been applied first.
    const found = await this.#readRow();
    if (found === "unknown" || found?.incarnation !== row.incarnation) return;
    await this.#writeReleased(row, signal);
  }

  async #writeReleased(row: LeaseRow, signal: AbortSignal) {
    const { store, table, logger } = this.#opts;
    const version = this.#observed?.version ?? 0;
    const written = await store.transact({
      expect: [{ table, key: KEY, version }],
      writes: [{ table, key: KEY, value: Buffer.from(JSON.stringify(row)) }],
      remove: [],
    }, signal);
    if (written.isErr()) {
      logger.warn({ err: written.error }, "failed to release leader lease");
      return undefined;
    }
    return written.value;
  }

  #row(): LeaseRow {
    const { self, clock } = this.#opts;
    const now = clock.now();
    const remainingMs = (endsAt: number) =>
      Math.min(MAX_EARLIER_ORDERS_MS, Math.max(0, endsAt - now));
    const leaders = this.#earlierLeaders
      .filter(({ ordersEndAt }) => now < ordersEndAt)
      .sort((a, b) => b.ordersEndAt - a.ordersEndAt);
    const unnamedEndsAt = Math.max(
      this.#unnamedLeadersEndAt,
      leaders[MAX_NAMED_LEADERS]?.ordersEndAt ?? now,
    );
    return {
      schema: 1,
      ...self,
      earlierOrdersMs: remainingMs(this.predecessorOrdersEndAt),
      earlierLeaders: leaders.slice(0, MAX_NAMED_LEADERS)
        .map(({ ordersEndAt, ...leader }) => ({
          ...leader,
          ordersMs: remainingMs(ordersEndAt),
        })),
      unnamedOrdersMs: remainingMs(unnamedEndsAt),
      ...(now < this.#lostLeadersEndAt
        ? { lostOrdersMs: remainingMs(this.#lostLeadersEndAt) }
        : {}),
      ...(this.era > 0 ? { era: this.era } : {}),
    };
  }

  #standbyDelayMs(): number {
    return (this.#opts.cores ?? MIN_LEADER_CORES) < MIN_LEADER_CORES
      ? SMALL_VM_DELAY_MS
      : 0;
  }

  /** Returns wall-clock time minus monotonic time. */
  #clockOffsetMs(): number {
    const { clock } = this.#opts;
    return clock.wallTime().getTime() - clock.now();
  }

  async #renew(): Promise<void> {
    const { clock } = this.#opts;
    const startedAt = clock.now();
    const clockOffsetMs = this.#clockOffsetMs();
    const outcome = await this.#write(this.#observed?.version ?? 0);
    switch (outcome.kind) {
      case "applied":
        // In a later era, the replaced row may have been another one.
        if (this.#heldEra !== outcome.era) {
          await this.#renewRestored();
          return;
        }
        this.#confirmedAt = startedAt;
        this.#confirmedEra = outcome.era;
        this.#offsetAtRenewalMs = clockOffsetMs;
        return;
      case "conflict": {
        // An earlier renewal whose response was lost may have been applied.
        const row = await this.#readRow();
        if (row === "unknown" || !this.#held) return;
        if (this.#heldEra !== this.era) {
          await this.#renewRestored();
          return;
        }
        if (row?.incarnation !== this.#opts.self.incarnation) {
          this.#lose("another VM holds it");
        }
        return;
      }
      case "unknown":
        return;
    }
  }

  /**
   * Renews the lease for the first time in a later era of the store, or loses it
   * if another VM may have acquired it.
   */
  async #renewRestored(): Promise<void> {
    const { clock, self, logger } = this.#opts;
    const observed = this.#observed;
    if (!this.#held || observed === undefined) return;
    const unconfirmedMs = clock.now() - this.#confirmedAt;
    // Until its TTL has passed, no other VM can have acquired the lease.
    const isSole = unconfirmedMs < LEASE_TTL_MS;
    const isOwn = observed.row?.incarnation === self.incarnation;
    // Afterwards, a successor may wait for the orders of this VM to end, and
    // then grant keys of which this VM knows nothing.
    const mayClaim = this.#isRestored(observed) &&
      (isSole || (isOwn && unconfirmedMs < ORDER_GRACE_MS));
    if (!mayClaim) {
      this.#lose("the store was restored, and another VM may hold it");
      return;
    }
    // The rows of a VM that has acquired it since may be lost.
    if (!isSole) this.#raiseLostEnd(clock.now() + ORDER_GRACE_MS);
    const { era } = observed;
    logger.warn(
      { before: this.#heldEra, era, renewalAgeMs: this.renewalAgeMs, isSole },
      "store was restored; writing the leader lease again",
    );
    this.#heldEra = era;
    await this.#renew();
  }

  /** Returns whether a row, or its absence, is from before a restore. */
  #isRestored({ row, version, era }: ObservedRow): boolean {
    // A VM that finds no row in the first era it sees is the first to start.
    return version === 0 ? era !== this.#firstEra : (row?.era ?? 0) !== era;
  }

  /** Returns whether this VM acquired the lease. */
  async #tryAcquire(): Promise<boolean> {
    const { clock, self, logger } = this.#opts;
    const before = this.#observed;
    const row = await this.#readRow();
    const observed = this.#observed;
    if (row === "unknown" || observed === undefined) return false;
    // A row that another writer has spoiled may have a leader.
    const isSpoiled = row === undefined && observed.version > 0;
    const isHeld = isSpoiled || (row !== undefined && row.released !== true);
    const isUnchanged = before?.version === observed.version &&
      before.era === observed.era;
    if (isHeld && !isUnchanged) {
      // The leader has written its row since the last read.
      this.#leaderUnreachable = false;
      if (before?.row?.incarnation !== row?.incarnation) {
        this.changed.notify();
        logger.info(
          { keeper: row?.vm, version: observed.version },
          "found the leader in the store",
        );
      }
    }
    const isOwnVm = row?.vm === self.vm;
    const ended = !isHeld || isOwnVm;
    const ttlMs = ended ? 0 : LEASE_TTL_MS;
    const expired = clock.now() - observed.firstReadAt >=
      (this.#isRestored(observed) ? RESTORED_LEASE_TTL_MS : ttlMs) +
        this.#standbyDelayMs();
    if (!expired || this.#released) return false;
    this.#recordEarlierLeaders(observed, ended);
    const startedAt = clock.now();
    const clockOffsetMs = this.#clockOffsetMs();
    const isFirst = !this.#rowSeen && observed.version === 0 &&
      observed.era === this.#firstEra;
    // The row may be written although the write appears to have failed.
    this.#rowSeen = true;
    const outcome = await this.#write(observed.version);
    if (outcome.kind !== "applied") return false;
    // The replaced row may be another one; the next attempt reads this VM's own.
    if (outcome.era !== observed.era) return false;
    this.#term = { startedAt: clock.now(), isFirst };
    this.#held = true;
    this.#heldEra = outcome.era;
    this.#leaderUnreachable = false;
    // A successor counts from the write, which the answer may follow late.
    this.#confirmedAt = startedAt;
    this.#confirmedEra = outcome.era;
    this.#offsetAtRenewalMs = clockOffsetMs;
    // The predecessor may have renewed the lease until this write.
    this.#recordEarlierLeaders(observed, ended);
    logger.info(
      {
        version: this.#observed?.version,
        predecessor: row?.vm,
        earlierLeaders: this.#earlierLeaders.map(({ vm, ordersEndAt }) => ({
          vm,
          ordersMs: Math.round(ordersEndAt - clock.now()),
        })),
      },
      "leader lease acquired",
    );
    this.changed.notify();
    return true;
  }

  /**
   * Records the leaders before this VM that may still send orders.
   *
   * @param observed - the row that this VM replaces
   * @param ended - whether the leader in the row sends no more orders
   */
  #recordEarlierLeaders(
    observed: ObservedRow,
    ended: boolean,
  ): void {
    const { row, version, firstReadAt } = observed;
    const { clock, self } = this.#opts;
    const now = clock.now();
    // Leaders whose rows are lost renewed the lease before the restore.
    const lostMs = this.#isRestored(observed)
      ? ORDER_GRACE_MS
      : row?.lostOrdersMs;
    if (lostMs !== undefined) this.#raiseLostEnd(firstReadAt + lostMs);
    const isSpoiled = row === undefined && version > 0;
    // Earlier versions of this program name no earlier leaders.
    const unnamedMs = isSpoiled
      ? ORDER_GRACE_MS
      : row?.unnamedOrdersMs ?? row?.earlierOrdersMs ?? 0;
    this.#raiseUnnamedEnd(firstReadAt + unnamedMs);
    const leaders = new Map<string, EarlierLeader>();
    const add = (leader: Identity, ordersEndAt: number) => {
      const { vm, incarnation, peerUrl } = leader;
      // Earlier processes of this VM have ended.
      if (vm === self.vm) return;
      if (ordersEndAt <= now) {
        this.#raiseUnnamedEnd(ordersEndAt);
        return;
      }
      const known = leaders.get(incarnation)?.ordersEndAt ?? now;
      if (ordersEndAt <= known) return;
      leaders.set(incarnation, { vm, incarnation, peerUrl, ordersEndAt });
    };
    for (const leader of this.#earlierLeaders) add(leader, leader.ordersEndAt);
    for (const leader of row?.earlierLeaders ?? []) {
      add(leader, firstReadAt + leader.ordersMs);
    }
    if (row !== undefined && !ended) add(row, now + ORDER_GRACE_MS);
    this.#earlierLeaders = [...leaders.values()];
  }

  async #readRow(): Promise<LeaseRow | undefined | "unknown"> {
    const { store, table, clock, signal, logger } = this.#opts;
    const read = await store.readTable(table, signal);
    if (read.isErr()) {
      logger.info({ err: read.error }, "failed to read leader lease");
      return "unknown";
    }
    const found = read.value.rows.find((row) => row.key === KEY);
    const row = found === undefined ? undefined : parseRow(found.value);
    if (found !== undefined && row === undefined) {
      logger.error({ version: found.version }, "leader lease row is malformed");
    }
    if (found !== undefined) this.#rowSeen = true;
    const version = found?.version ?? 0;
    const { era } = read.value;
    if (era < this.era) return "unknown";
    this.#firstEra ??= era;
    if (this.#observed?.version !== version || this.#observed.era !== era) {
      this.#observed = { row, version, era, firstReadAt: clock.now() };
    }
    return row;
  }

  async #write(
    version: number,
  ): Promise<
    { kind: "applied"; era: number } | { kind: "conflict" | "unknown" }
  > {
    const { store, table, clock, signal, logger } = this.#opts;
    const row = this.#row();
    const outcome = await store.transact({
      expect: [{ table, key: KEY, version }],
      writes: [{ table, key: KEY, value: Buffer.from(JSON.stringify(row)) }],
      remove: [],
    }, signal);
    if (outcome.isErr()) {
      logger.warn({ err: outcome.error }, "failed to write leader lease");
      return { kind: "unknown" };
    }
    if (outcome.value.kind === "conflict") return { kind: "conflict" };
    this.#observed = {
      row,
      version: outcome.value.version,
      era: outcome.value.era,
      firstReadAt: clock.now(),
    };
    return { kind: "applied", era: outcome.value.era };
  }

  #raiseLostEnd(endsAt: number): void {
    this.#lostLeadersEndAt = Math.max(this.#lostLeadersEndAt, endsAt);
    this.#raiseUnnamedEnd(endsAt);
  }

  #raiseUnnamedEnd(endsAt: number): void {
    this.#unnamedLeadersEndAt = Math.max(this.#unnamedLeadersEndAt, endsAt);
  }

  #lose(reason: string): void {
    this.#held = false;
    this.#heldEra = undefined;
    this.#leaderUnreachable = true;
    // If this VM leads again, it has forgotten the leases that it granted.
    this.#raiseUnnamedEnd(this.#opts.clock.now());
    this.#opts.logger.warn(
      { reason, renewalAgeMs: this.renewalAgeMs },
      "leader lease lost",
    );
    this.changed.notify();
  }
}

function parseRow(value: Uint8Array): LeaseRow | undefined {
  try {
    const parsed = LeaseRow.safeParse(
      JSON.parse(Buffer.from(value).toString("utf8")),
    );
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
