import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import { runTask } from "../base/run_task.ts";
import type { DirectMetrics } from "../direct/direct_metrics.ts";
import type { FleetView } from "../direct/fleet_view.ts";
import type { RowStore } from "../rows/row_store.ts";
import { assignAgain } from "./assign_again.ts";
import { encodeRangeDocument } from "./encode_range_document.ts";
import type { LeaderLease } from "./leader_lease.ts";
import type { KeyLoad } from "./key_load.ts";
import { planRanges } from "./plan_ranges.ts";
import type { RangeDocument } from "./range_document.ts";
import type { RangeGrants } from "./range_grants.ts";
import { RangeOrders } from "./range_orders.ts";
import { skipLostFences } from "./skip_lost_fences.ts";
import { withUnknownOwner } from "./with_unknown_owner.ts";
import { RangeTable } from "./range_table.ts";
import { readRangeTable } from "./read_range_table.ts";

type Options = {
  service: string;
  store: RowStore;
  table: string;
  view: FleetView;
  lease: LeaderLease;
  grants: RangeGrants;
  /** Request rates of the service's keys. */
  load: KeyLoad;
  /** @returns mean service time of requests to the service, in milliseconds */
  workMs: () => number;
  /** @returns slowdowns of upstreams that VMs have reported, by id */
  speeds: () => ReadonlyMap<string, number>;
  clock: Clock;
  logger: Logger;
  metrics: DirectMetrics;
  /** Duration of a grant, in milliseconds. */
  holdMs: number;
};
/** Limits writes of the row: each one costs every VM a call to the store. */
const WRITE_INTERVAL_MS = 120;
const PLAN_INTERVAL_MS = 300;
/** Upstreams register within this time after the system starts. */
const FIRST_PLAN_DELAY_MS = 1500;
/** A cold upstream is assigned at most this fraction of its warm-up limit. */
const COLD_CAPACITY_FRACTION = 0.6;
const MS_PER_S = 1000;
const NO_RANGES: RangeDocument = { schema: 1, nextFence: 1, ranges: [] };

/** Assigns the keys of one service while this VM is the leader. */
export class ServiceRanges {
  readonly #opts: Options;
  /** The last known owners. */
  #table: RangeTable | undefined;
  /** Whether the known owners differ from the row because of a restore. */
  #isUnwritten = false;
  /** Whether the row may have changed since the last read or write. */
  #tableIsStale = true;
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
      knownTable: () => this.#table,
      onStale: () => {
        this.#tableIsStale = true;
      },
    });
  }

  /**
   * Assigns and grants keys until the signal aborts.
   *
   * @param signal - aborts when the leader lease is lost or the process stops
   */
  async run(signal: AbortSignal): Promise<void> {
    const { service, metrics } = this.#opts;
    const run = (name: string, task: () => Promise<void>) =>
      runTask(
        {
          ...this.#opts,
          name: `${name} of ${service}`,
          onError: () => metrics.unexpectedErrors.inc({ place: name }),
        },
        signal,
        task,
      );
    await Promise.all([
      run("key assignment", () => this.#assign(signal)),
      run("key orders", () => this.#orders.run(signal)),
    ]);
  }

  /** Plans the owners of keys and writes them to the store. */
  async #assign(signal: AbortSignal): Promise<void> {
    const { clock, lease } = this.#opts;
    while (!signal.aborted) {
      // A successor may have changed the row while the lease was not confirmed,
      // so it is read again once the lease is confirmed.
      const isStale = !lease.confirmed || this.#table?.era !== lease.era;
      if (isStale) this.#tableIsStale = true;
      if (
        lease.confirmed && (!this.#tableIsStale || await this.#read(signal))
      ) {
        await this.#write(signal);
      }
      await clock.sleep(WRITE_INTERVAL_MS, signal);
    }
  }

  async #read(signal: AbortSignal): Promise<boolean> {
    const { store, table, service, logger, lease } = this.#opts;
    const read = await store.readTable(table, signal);
    if (read.isErr()) {
      logger.warn(
        { service, err: read.error },
        "failed to read key owners; will retry",
      );
      return false;
    }
    const row = read.value.rows.find(({ key }) => key === service);
    const { era } = read.value;
    // The lease is not known to be held in the store's present era.
    if (era !== lease.era) return false;
    const found = row === undefined
      ? undefined
      : readRangeTable(row, logger, era);
    // An unreadable row may hold fencing tokens that must not be used again.
    if (row !== undefined && found === undefined) return false;
    const document = found?.document ?? NO_RANGES;
    const isRestored = (document.era ?? 0) !== era;
    this.#table = new RangeTable(
      row?.version ?? 0,
      isRestored ? this.#afterRestore(document, era) : document,
      era,
    );
    this.#isUnwritten = isRestored;
    this.#tableIsStale = false;
    return true;
  }

  /**
   * Returns the owners to write instead of those of an older copy of the row.
   *
   * @param document - the copy's owners
   * @param era - the store's present era
   */
  #afterRestore(document: RangeDocument, era: number): RangeDocument {
    const { service, view, lease, logger } = this.#opts;
    const known = this.#table;
    const hasLed = known !== undefined &&
      known.document.nextFence >= document.nextFence;
    logger.warn({
      service,
      era,
      hasLed,
      nextFence: document.nextFence,
      ranges: document.ranges.length,
    }, "key owners are from an older copy; writing them again");
    if (hasLed) {
      // What this VM has written since the copy was taken.
      return known.era === era || !this.#orders.mayHaveUnknownOwners
        ? known.document
        : skipLostFences(known.document, era);
    }
    // The first leader finds no row, and no VM has read of one.
    if (
      document.ranges.length === 0 && view.nextFence(service) === 1 &&
      lease.lostOrdersEndAt === Number.NEGATIVE_INFINITY
    ) return document;
    const nextFence = Math.max(document.nextFence, view.nextFence(service));
    return assignAgain(
      skipLostFences({ ...document, nextFence }, era),
      () => true,
    );
  }

  /** Writes new plans and removes the previous owners of completed moves. */
  async #write(signal: AbortSignal): Promise<void> {
    const { store, table, service, logger, view } = this.#opts;
    const before = this.#table;
    if (before === undefined) return;
    const current = this.#orders.applyProgress(before.document);
    const planned = this.#forEra(
      this.#plan(this.#assignStaleAgain(current, before.era)),
      before,
    );
    if (planned === before.document && !this.#isUnwritten) return;
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
      }, "failed to write key owners; will read the row again");
      this.#tableIsStale = true;
      return;
    }
    const { version, era } = outcome.value;
    this.#table = new RangeTable(version, planned, era);
    this.#isUnwritten = false;
    // The write may have replaced a row that another leader has written since.
    if (era !== before.era) this.#tableIsStale = true;
    this.#orders.prune(planned);
    view.setRanges(service, this.#table);
  }

  /**
   * Assigns ranges again whose owners have seen a higher token, which can only be
   * that of a leader whose rows are lost.
   */
  #assignStaleAgain(document: RangeDocument, era: number): RangeDocument {
    return era === 0
      ? document
      : assignAgain(document, (range) => this.#orders.isStale(range));
  }

  /** Completes a plan with what a restore of the store makes necessary. */
  #forEra(
    planned: RangeDocument,
    { document, era }: RangeTable,
  ): RangeDocument {
    if (planned === document && (document.era ?? 0) === era) return document;
    const ranges = this.#orders.mayHaveUnknownOwners
      ? planned.ranges.map((range) =>
        range.fence < document.nextFence ? range : withUnknownOwner(range)
      )
      : planned.ranges;
    return { ...planned, ranges, ...(era === 0 ? {} : { era }) };
  }

  /** Returns the same document if nothing is to be changed. */
  #plan(document: RangeDocument): RangeDocument {
    return this.#planIfDue(document) ?? document;
  }

  #planIfDue(document: RangeDocument): RangeDocument | undefined {
    const { clock, view, service, load, workMs, logger } = this.#opts;
    const now = clock.now();
    if (now - this.#plannedAt < PLAN_INTERVAL_MS) return undefined;
    if (
      document.ranges.length === 0 &&
      now - this.#startedAt < FIRST_PLAN_DELAY_MS
    ) return undefined;
    this.#plannedAt = now;
    const policy = view.policy(service);
    const speeds = this.#opts.speeds();
    const upstreams = [...view.upstreams]
      .filter(({ entry }) => entry.service === service)
      .sort((a, b) => a.entry.id < b.entry.id ? -1 : 1)
      .map((upstream) => {
        const capacityPerS = upstream.load.slots * MS_PER_S /
          (workMs() * (speeds.get(upstream.entry.id) ??
            upstream.load.typicalSlowdown(now)));
        const coldPerS = COLD_CAPACITY_FRACTION * (policy?.warmUpPerS ?? 0);
        return {
          id: upstream.entry.id,
          incarnation: upstream.entry.incarnation,
          usable: view.mayOwnKeys(upstream),
          capacityPerS,
          limitPerS: upstream.warmUp.isCold(now)
            ? Math.min(coldPerS, capacityPerS)
            : capacityPerS,
        };
      });
    const planned = planRanges({
      document,
      upstreams,
      rates: load.rates(now),
      // Other moves can wait until all owners are known.
      onlyUnusable: this.#orders.mayHaveUnknownOwners,
    });
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
