import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { DirectMetrics } from "../direct/direct_metrics.ts";
import type { FleetView } from "../direct/fleet_view.ts";
import type { Upstream } from "../direct/upstream.ts";
import type { RowStore } from "../rows/row_store.ts";
import { withTimeout } from "../vms/with_timeout.ts";
import { encodeRangeDocument } from "./encode_range_document.ts";
import type { KeeperLease } from "./keeper_lease.ts";
import type { KeyLoad } from "./key_load.ts";
import type { KeyRange } from "./key_range.ts";
import { planRanges } from "./plan_ranges.ts";
import type { RangeDocument } from "./range_document.ts";
import type { RangeGrants } from "./range_grants.ts";
import { RangeTable } from "./range_table.ts";
import { readRangeTable } from "./read_range_table.ts";

type Options = {
  service: string;
  store: RowStore;
  table: string;
  view: FleetView;
  lease: KeeperLease;
  grants: RangeGrants;
  load: KeyLoad;
  /** @returns mean time of the service's work, in milliseconds */
  workMs: () => number;
  /** @returns usual time of work at upstreams that VMs have reported, by id */
  speeds: () => ReadonlyMap<string, number>;
  clock: Clock;
  logger: Logger;
  metrics: DirectMetrics;
  /** How long a grant lasts, in milliseconds. */
  holdMs: number;
};
type Renewal = {
  grantedAt: number;
  triedAt: number;
  busy: boolean;
  /** Refused for a higher token; the row will name another one. */
  stale: boolean;
};

const TICK_MS = 60;
/** Each write of the row costs every VM a call to the store. */
const WRITE_MS = 120;
const PLAN_MS = 300;
/** Three renewals fit into a lease. */
const RENEWALS_PER_HOLD = 3;
const RETRY_MS = 350;
/** A round trip between regions takes 40 ms. */
const ORDER_TIMEOUT_MS = 500;
/** A release is answered when the work on the keys has ended. */
const RELEASE_TIMEOUT_MS = 3000;
/** An upstream's clock may run 2% slow. */
const CLOCK_SKEW = 1.02;
/** Delay of an order on its way, which the lease does not count. */
const ARRIVAL_MS = 250;
/** Upstreams register within this time of the system's start. */
const FIRST_PLAN_MS = 1500;
/** A cold upstream gets at most this part of what it bears. */
const COLD_PART = 0.6;
const MS_PER_S = 1000;

/** What the keeper does for the keys of one service. */
export class ServiceRanges {
  readonly #opts: Options;
  /** The owners as they were known last. */
  #table: RangeTable | undefined;
  /** The row may have changed since. */
  #stale = true;
  readonly #renewals = new Map<string, Renewal>();
  /** Until when any grant to an upstream may be in force; by incarnation. */
  readonly #heldUntil = new Map<string, number>();
  readonly #moving = new Set<number>();
  readonly #arrived = new Set<number>();
  readonly #addresses = new Map<string, string>();
  #plannedAt = Number.NEGATIVE_INFINITY;
  #startedAt: number;

  /**
   * @param opts - the service, the store and the upstreams
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.#startedAt = opts.clock.now();
  }

  /**
   * Assigns and grants keys until the signal aborts.
   *
   * @param signal - the lease is lost, or the process ends
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#assign(signal), this.#order(signal)]);
  }

  /** Plans and writes who owns which keys. */
  async #assign(signal: AbortSignal): Promise<void> {
    const { clock, lease } = this.#opts;
    while (!signal.aborted) {
      // A keeper that was away reads what its successor has done.
      if (!lease.confirmed) this.#stale = true;
      else if (!this.#stale || await this.#read(signal)) {
        await this.#write(signal);
      }
      await clock.sleep(WRITE_MS, signal);
    }
  }

  /**
   * Keeps the upstreams to the owners that are known, also while the store
   * cannot be reached.
   */
  async #order(signal: AbortSignal): Promise<void> {
    const { clock, lease, view } = this.#opts;
    while (!signal.aborted) {
      for (const upstream of view.upstreams) {
        this.#addresses.set(upstream.entry.id, upstream.entry.address);
      }
      const ranges = this.#table?.document.ranges ?? [];
      for (const range of lease.mayOrder ? ranges : []) {
        if (range.previous.length > 0) this.#startMove(range, signal);
        else this.#startRenewal(range, signal);
      }
      await clock.sleep(TICK_MS, signal);
    }
  }

  async #read(signal: AbortSignal): Promise<boolean> {
    const { store, table, service, logger } = this.#opts;
    const read = await store.readTable(table, signal);
    if (read.isErr()) {
      logger.warn({ service, err: read.error }, "key owners not read");
      return false;
    }
    const row = read.value.rows.find(({ key }) => key === service);
    const found = row === undefined ? undefined : readRangeTable(row, logger);
    this.#table = found ??
      new RangeTable(row?.version ?? 0, {
        schema: 1,
        nextFence: 1,
        ranges: [],
      });
    this.#stale = false;
    return true;
  }

  /** Writes what has been planned and which moves have ended. */
  async #write(signal: AbortSignal): Promise<void> {
    const { store, table, service, logger, view } = this.#opts;
    const before = this.#table;
    if (before === undefined) return;
    const arrived = new Set(this.#arrived);
    const settled = arrived.size === 0
      ? before.document
      : settle(before.document, arrived);
    const planned = this.#plan(settled) ?? settled;
    if (planned === before.document) return;
    const outcome = await store.transact({
      expect: [{ table, key: service, version: before.version }],
      writes: [{ table, key: service, value: encodeRangeDocument(planned) }],
      remove: [],
    }, signal);
    if (outcome.isErr() || outcome.value.kind === "conflict") {
      logger.warn({
        service,
        version: before.version,
        err: outcome.isErr() ? outcome.error : undefined,
      }, "key owners not written");
      this.#stale = true;
      return;
    }
    for (const fence of arrived) this.#arrived.delete(fence);
    this.#table = new RangeTable(outcome.value.version, planned);
    this.#forget(planned);
    view.setRanges(service, this.#table);
  }

  /** Drops what concerns earlier ranges and upstreams that are long gone. */
  #forget({ ranges }: RangeDocument): void {
    const { clock, view } = this.#opts;
    const keys = new Set(ranges.map(renewalKey));
    for (const key of this.#renewals.keys()) {
      if (!keys.has(key)) this.#renewals.delete(key);
    }
    const holders = new Set(
      ranges.flatMap(({ owner, previous }) => [owner, ...previous])
        .map(holderKey),
    );
    const now = clock.now();
    for (const [holder, until] of this.#heldUntil) {
      if (until < now && !holders.has(holder)) this.#heldUntil.delete(holder);
    }
    const ids = new Set([...holders].map(idOfHolderKey));
    for (const id of this.#addresses.keys()) {
      if (view.upstream(id) === undefined && !ids.has(id)) {
        this.#addresses.delete(id);
      }
    }
  }

  #plan(document: RangeDocument): RangeDocument | undefined {
    const { clock, view, service, load, workMs, logger } = this.#opts;
    const now = clock.now();
    if (now - this.#plannedAt < PLAN_MS) return undefined;
    if (
      document.ranges.length === 0 && now - this.#startedAt < FIRST_PLAN_MS
    ) return undefined;
    this.#plannedAt = now;
    const policy = view.policy(service);
    const speeds = this.#opts.speeds();
    const holders = [...view.upstreams]
      .filter(({ entry }) => entry.service === service)
      .sort((a, b) => a.entry.id < b.entry.id ? -1 : 1)
      .map((upstream) => {
        const capacityPerS = upstream.load.slots * MS_PER_S /
          (workMs() * (speeds.get(upstream.entry.id) ??
            upstream.load.usualTime(now)));
        const coldPerS = COLD_PART * (policy?.warmUpPerS ?? 0);
        return {
          id: upstream.entry.id,
          incarnation: upstream.entry.incarnation,
          usable: view.isUsable(upstream),
          capacityPerS,
          limitPerS: upstream.warmUp.isCold(now)
            ? Math.min(coldPerS, capacityPerS)
            : capacityPerS,
        };
      });
    const planned = planRanges({ document, holders, rates: load.rates(now) });
    if (planned === undefined) return undefined;
    logger.info({
      service,
      version: this.#table?.version,
      ranges: planned.ranges.length,
      moving: planned.ranges.filter(({ previous }) => previous.length > 0)
        .map(({ first, last, owner, fence, previous }) => ({
          first,
          last,
          to: owner.id,
          fence,
          from: previous.map(({ id }) => id),
        })),
    }, "key owners planned");
    return planned;
  }

  #startRenewal(range: KeyRange, signal: AbortSignal): void {
    const { clock, view, holdMs } = this.#opts;
    const upstream = view.upstream(range.owner.id);
    if (!isOwner(range, upstream)) return;
    const key = renewalKey(range);
    const now = clock.now();
    const renewal = this.#renewals.get(key);
    if (renewal !== undefined) {
      const due = renewal.grantedAt + holdMs / RENEWALS_PER_HOLD;
      if (
        renewal.stale || renewal.busy || now < due ||
        now < renewal.triedAt + RETRY_MS
      ) {
        return;
      }
    }
    const next = renewal ??
      {
        grantedAt: Number.NEGATIVE_INFINITY,
        triedAt: now,
        busy: false,
        stale: false,
      };
    next.busy = true;
    next.triedAt = now;
    this.#renewals.set(key, next);
    void this.#grant(range, upstream, undefined, signal).then((result) => {
      next.busy = false;
      if (result === "granted") next.grantedAt = now;
      // Another keeper has used a higher token; the row tells which.
      if (result === "stale") {
        next.stale = true;
        this.#stale = true;
      }
    });
  }

  async #grant(
    range: KeyRange,
    upstream: Upstream,
    handover: string | undefined,
    signal: AbortSignal,
  ): Promise<Awaited<ReturnType<RangeGrants["grant"]>>> {
    const { clock, grants, holdMs, logger, metrics, service } = this.#opts;
    const { first, last, fence } = range;
    const { id, address } = upstream.entry;
    const holder = holderKey(range.owner);
    const startedAt = clock.now();
    const before = this.#heldUntil.get(holder) ?? 0;
    // What is on its way may arrive at any moment.
    const latest = startedAt + ORDER_TIMEOUT_MS + this.#leaseMs();
    this.#heldUntil.set(holder, Math.max(before, latest));
    const result = await withTimeout(
      { clock, ms: ORDER_TIMEOUT_MS },
      signal,
      (either) =>
        grants.grant(
          { address, id, first, last, fence, holdMs, handover },
          either,
        ),
    );
    const until = clock.now() + this.#leaseMs();
    if (result !== "not_sent") {
      this.#heldUntil.set(holder, Math.max(before, until));
    } else if (this.#heldUntil.get(holder) === latest) {
      this.#heldUntil.set(holder, before);
    }
    metrics.orders.inc({ order: "grant", result });
    if (result !== "granted" || handover !== undefined) {
      logger.info({
        service,
        upstream: id,
        first,
        last,
        fence,
        handover: handover !== undefined,
        result,
        ms: Math.round(clock.now() - startedAt),
      }, "keys granted");
    }
    return result;
  }

  #startMove(range: KeyRange, signal: AbortSignal): void {
    const { fence } = range;
    if (this.#moving.has(fence) || this.#arrived.has(fence)) return;
    this.#moving.add(fence);
    void this.#move(range, signal).then((arrived) => {
      this.#moving.delete(fence);
      if (arrived) this.#arrived.add(fence);
    });
  }

  /** Takes keys from their previous owners and grants them to the new one. */
  async #move(range: KeyRange, signal: AbortSignal): Promise<boolean> {
    const { clock, view } = this.#opts;
    let handover: string | undefined;
    for (const previous of range.previous) {
      const released = await this.#takeBack(range, previous, signal);
      if (released === undefined) return false;
      handover = released.handover ?? handover;
    }
    while (!signal.aborted && this.#isPlanned(range)) {
      const upstream = view.upstream(range.owner.id);
      if (!isOwner(range, upstream)) return false;
      const result = await this.#grant(range, upstream, handover, signal);
      if (result === "granted") {
        const now = clock.now();
        this.#renewals.set(renewalKey(range), {
          grantedAt: now,
          triedAt: now,
          busy: false,
          stale: false,
        });
        return true;
      }
      if (result === "stale") {
        this.#stale = true;
        return false;
      }
      await clock.sleep(RETRY_MS, signal);
    }
    return false;
  }

  /** Returns undefined if the attempt ended without an outcome. */
  async #takeBack(
    range: KeyRange,
    previous: KeyRange["previous"][number],
    signal: AbortSignal,
  ): Promise<{ handover: string | undefined } | undefined> {
    const { clock, grants, view, logger, metrics, service, lease } = this.#opts;
    const { first, last, fence } = range;
    while (!signal.aborted && this.#isPlanned(range)) {
      const now = clock.now();
      const present = view.upstream(previous.id);
      if (
        present !== undefined &&
        present.entry.incarnation !== previous.incarnation
      ) return { handover: undefined }; // A new life holds nothing of before.
      // Another keeper may have renewed what this one believes expired.
      if (lease.confirmed && now >= this.#endOf(previous)) {
        logger.info(
          { service, upstream: previous.id, first, last, fence },
          "lease of the previous owner has run out",
        );
        return { handover: undefined };
      }
      const address = this.#addresses.get(previous.id);
      if (address !== undefined) {
        const released = await withTimeout(
          { clock, ms: RELEASE_TIMEOUT_MS },
          signal,
          (either) =>
            grants.release(
              { address, id: previous.id, first, last, fence },
              either,
            ),
        );
        metrics.orders.inc({ order: "release", result: released.kind });
        logger.info({
          service,
          upstream: previous.id,
          first,
          last,
          fence,
          result: released.kind,
          ms: Math.round(clock.now() - now),
        }, "keys released");
        // The release has told a higher token, so that an unanswered grant
        // which is carried out late will be refused.
        if (released.kind === "released") {
          return { handover: released.handover };
        }
      }
      await clock.sleep(RETRY_MS, signal);
    }
    return undefined;
  }

  /** Until when an upstream may hold keys. */
  #endOf(holder: { id: string; incarnation: number }): number {
    const own = this.#heldUntil.get(holderKey(holder)) ?? 0;
    // Orders of an earlier keeper are not known.
    const inherited = this.#opts.lease.predecessorEndsAt + this.#leaseMs();
    return Math.max(own, inherited);
  }

  /** From the arrival of a grant to its end on the slowest clock. */
  #leaseMs(): number {
    return this.#opts.holdMs * CLOCK_SKEW + ARRIVAL_MS;
  }

  #isPlanned(range: KeyRange): boolean {
    const table = this.#table;
    return table === undefined ||
      table.document.ranges.some((one) =>
        one.fence === range.fence && one.first === range.first &&
        one.last === range.last
      );
  }
}

function renewalKey({ first, last, fence }: KeyRange): string {
  return `${first}-${last}-${fence}`;
}

function holderKey(holder: { id: string; incarnation: number }): string {
  return `${holder.id}/${holder.incarnation}`;
}

function idOfHolderKey(key: string): string {
  return key.slice(0, key.lastIndexOf("/"));
}

function isOwner(
  range: KeyRange,
  upstream: Upstream | undefined,
): upstream is Upstream {
  return upstream?.entry.incarnation === range.owner.incarnation;
}

/** Ranges whose owners have got the keys wait for nobody any more. */
function settle(
  document: RangeDocument,
  arrived: ReadonlySet<number>,
): RangeDocument {
  return {
    ...document,
    ranges: document.ranges.map((range) =>
      arrived.has(range.fence) ? { ...range, previous: [] } : range
    ),
  };
}
