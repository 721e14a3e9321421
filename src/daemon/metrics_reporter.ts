import type { Clock } from "../base/clock.ts";
import type { MetricName } from "../base/metric_name.ts";
import type { Metrics } from "../base/metrics.ts";
import type { StoreMode } from "../vms/store_mode.ts";
import type { AssignmentRow } from "../shards/assignment_row.ts";
import type { Views } from "./views.ts";
import type { RenewalMetrics } from "./renewal_metrics.ts";

// By default, StatsD servers store one value of a gauge per 10 s.
const SAMPLE_INTERVAL_MS = 10_000;

const STORE_MODE_VALUE: Readonly<Record<StoreMode, number>> = {
  starting: 0,
  current: 1,
  outage: 2,
  cut_off: 3,
};
const UPSTREAM_STATE_METRIC = {
  cold: "upstream.cold",
  warm: "upstream.warm",
  draining: "upstream.draining",
  lost: "upstream.lost",
} as const satisfies Record<string, MetricName<"gauge">>;

type Deps = {
  clock: Clock;
  metrics: Metrics;
  region: string;
  storeContact: { mode(): StoreMode };
  coordinatorLease: { held(): { epoch: number } | undefined };
  views: Pick<Views, "catalogue" | "assignments">;
  holdQueue: { readonly heldCount: number };
  renewals: Pick<RenewalMetrics, "lastUpstreams" | "lastShares">;
};

/**
 * Samples the gauges of this router every 10 s, and counts the shards of its
 * region that change their owner.
 */
export class MetricsReporter {
  readonly #deps: Deps;
  /** Latest row of each service of the region, by service. */
  readonly #lastRows = new Map<string, AssignmentRow>();

  /**
   * @param deps - sources of the values, the metrics that receive them, and the
   * region of this process
   */
  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /**
   * Reports metrics until the signal aborts.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.#sampleRepeatedly(signal),
      this.#watchRows(signal),
    ]);
  }

  async #sampleRepeatedly(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#deps.clock.sleep(SAMPLE_INTERVAL_MS, signal);
      this.#sample();
    }
  }

  #sample(): void {
    const {
      metrics,
      region,
      storeContact,
      coordinatorLease,
      views,
      holdQueue,
    } = this.#deps;
    const tags = { region };
    metrics.gauge("store.mode", STORE_MODE_VALUE[storeContact.mode()], tags);
    metrics.gauge("catalogue.version", views.catalogue.version, tags);
    metrics.gauge(
      "coordinator.epoch",
      coordinatorLease.held()?.epoch ?? 0,
      tags,
    );
    metrics.gauge("hold.held", holdQueue.heldCount, tags);
    for (const [service, { shards }] of this.#lastRows) {
      const unassigned = shards.filter((position) => position < 0).length;
      metrics.gauge("assignment.unassigned", unassigned, { region, service });
    }
    this.#sampleUpstreams();
    this.#sampleShares();
  }

  #sampleUpstreams(): void {
    const { metrics, region, renewals } = this.#deps;
    // Services without an upstream on this router report 0; otherwise StatsD
    // would keep their last value.
    for (const service of this.#serviceNames()) {
      const tags = { region, service };
      const upstreams = renewals.lastUpstreams.filter((upstream) =>
        upstream.service === service
      );
      for (const [state, name] of Object.entries(UPSTREAM_STATE_METRIC)) {
        const count = upstreams.filter((upstream) =>
          upstream.state === state
        ).length;
        metrics.gauge(name, count, tags);
      }
      const sum = (valueOf: (upstream: typeof upstreams[number]) => number) =>
        upstreams.reduce((total, upstream) => total + valueOf(upstream), 0);
      metrics.gauge(
        "upstream.in_flight",
        sum((upstream) => upstream.inFlight),
        tags,
      );
      metrics.gauge(
        "upstream.queued",
        sum((upstream) => upstream.queued),
        tags,
      );
    }
  }

  #sampleShares(): void {
    const { metrics, region, renewals, views } = this.#deps;
    const entries = views.catalogue.current?.document.entries ?? {};
    for (const service of this.#serviceNames()) {
      const shares = renewals.lastShares.filter(({ entry }) =>
        Object.hasOwn(entries, entry) && entries[entry]?.service === service
      );
      const tags = { region, service };
      const rate = shares.reduce((sum, { ratePerS }) => sum + ratePerS, 0);
      const concurrency = shares.reduce(
        (sum, share) => sum + share.concurrency,
        0,
      );
      metrics.gauge("limit.rate_share", rate, tags);
      metrics.gauge("limit.concurrency_share", concurrency, tags);
    }
  }

  #serviceNames(): string[] {
    const { catalogue } = this.#deps.views;
    return Object.keys(catalogue.current?.document.services ?? {});
  }

  async #watchRows(signal: AbortSignal): Promise<void> {
    const { assignments } = this.#deps.views;
    while (!signal.aborted) {
      const changed = assignments.changed.next(signal);
      this.#countMovedShards();
      await changed;
    }
  }

  #countMovedShards(): void {
    const { metrics, region, coordinatorLease, views } = this.#deps;
    const epoch = coordinatorLease.held()?.epoch;
    for (const { row } of views.assignments.all()) {
      if (row.region !== region) continue;
      const { service } = row;
      const previous = this.#lastRows.get(service);
      if (previous === row) continue;
      this.#lastRows.set(service, row);
      // Only the coordinator that wrote the row counts, so that each move is
      // counted once in the region.
      if (previous === undefined || row.coordinatorEpoch !== epoch) continue;
      const moved = countMovedShards(previous, row);
      if (moved === 0) continue;
      metrics.increment("assignment.moved", moved, { region, service });
    }
  }
}

function ownerOf(row: AssignmentRow, shard: number): string | undefined {
  return row.upstreams[row.shards[shard] ?? -1]?.id;
}

function countMovedShards(before: AssignmentRow, after: AssignmentRow): number {
  return before.shards.filter((_, shard) => {
    const owner = ownerOf(before, shard);
    return owner !== undefined && owner !== ownerOf(after, shard);
  }).length;
}
