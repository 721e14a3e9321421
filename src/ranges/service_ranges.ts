import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { DirectMetrics } from "../direct/direct_metrics.ts";
import type { FleetView } from "../direct/fleet_view.ts";
import type { RowStore } from "../rows/row_store.ts";
import { encodeRangeDocument } from "./encode_range_document.ts";
import type { LeaderLease } from "./leader_lease.ts";
import type { KeyLoad } from "./key_load.ts";
import { planRanges } from "./plan_ranges.ts";
import type { RangeDocument } from "./range_document.ts";
import type { RangeGrants } from "./range_grants.ts";
import { RangeOrders } from "./range_orders.ts";
import { RangeTable } from "./range_table.ts";
import { readRangeTable } from "./read_range_table.ts";

type Options = {
  service: string;
  store: RowStore;
  table: string;
  view: FleetView;
  lease: LeaderLease;
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
/** Each write of the row costs every VM a call to the store. */
const WRITE_MS = 120;
const PLAN_MS = 300;
/** Upstreams register within this time of the system's start. */
const FIRST_PLAN_MS = 1500;
/** A cold upstream gets at most this part of what it bears. */
const COLD_PART = 0.6;
const MS_PER_S = 1000;

/** What the leader does for the keys of one service. */
export class ServiceRanges {
  readonly #opts: Options;
  /** The owners as they were known last. */
  #table: RangeTable | undefined;
  /** The row may have changed since. */
  #stale = true;
  readonly #orders: RangeOrders;
  #plannedAt = Number.NEGATIVE_INFINITY;
  #startedAt: number;

  /**
   * @param opts - the service, the store and the upstreams
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.#startedAt = opts.clock.now();
    this.#orders = new RangeOrders({
      ...opts,
      known: () => this.#table,
      onStale: () => {
        this.#stale = true;
      },
    });
  }

  /**
   * Assigns and grants keys until the signal aborts.
   *
   * @param signal - the lease is lost, or the process ends
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#assign(signal), this.#orders.run(signal)]);
  }

  /** Plans and writes who owns which keys. */
  async #assign(signal: AbortSignal): Promise<void> {
    const { clock, lease } = this.#opts;
    while (!signal.aborted) {
      // A leader that was away reads what its successor has done.
      if (!lease.confirmed) this.#stale = true;
      else if (!this.#stale || await this.#read(signal)) {
        await this.#write(signal);
      }
      await clock.sleep(WRITE_MS, signal);
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
    // An unreadable row holds fencing tokens that must not be used again.
    if (row !== undefined && found === undefined) return false;
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
    const completed = new Set(this.#orders.completedMoves);
    const settled = completed.size === 0
      ? before.document
      : settle(before.document, completed);
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
    this.#table = new RangeTable(outcome.value.version, planned);
    this.#orders.forget(planned);
    view.setRanges(service, this.#table);
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
}

/** Ranges whose owners have got the keys wait for nobody any more. */
function settle(
  document: RangeDocument,
  completed: ReadonlySet<number>,
): RangeDocument {
  return {
    ...document,
    ranges: document.ranges.map((range) =>
      completed.has(range.fence) ? { ...range, previous: [] } : range
    ),
  };
}
