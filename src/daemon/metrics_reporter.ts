import type { Clock } from "../base/clock.ts";
import type { MetricName } from "../base/metric_name.ts";
import type { Metrics } from "../base/metrics.ts";
import type { StoreMode } from "../vms/store_mode.ts";
import type { AssignmentRow } from "../shards/assignment_row.ts";
import type { Views } from "./views.ts";
import type { RenewalMetrics } from "./renewal_metrics.ts";

// StatsD servers keep one value of a gauge for each 10 s by default.
const SAMPLE_MS = 10_000;

const MODE_VALUE: Readonly<Record<StoreMode, number>> = {
  starting: 0,
  current: 1,
  outage: 2,
  cut_off: 3,
};
const STATE_METRIC = {
  cold: "upstream.cold",
  warm: "upstream.warm",
  draining: "upstream.draining",
  lost: "upstream.lost",
} as const satisfies Record<string, MetricName<"gauge">>;

type Deps = {
  clock: Clock;
  metrics: Metrics;
  region: string;
  contact: { mode(): StoreMode };
  lease: { held(): { epoch: number } | undefined };
  views: Pick<Views, "catalogue" | "assignments">;
  hold: { readonly heldCount: number };
  renewals: Pick<RenewalMetrics, "upstreams" | "shares">;
};

/** Samples gauges, and counts the moves of shards. */
export class MetricsReporter {
  readonly #deps: Deps;
  /** Last row of each service of the region. */
  readonly #rows = new Map<string, AssignmentRow>();

  /**
   * @param deps - what is measured, and the region of this process
   */
  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /**
   * Runs until the signal aborts.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#sampleAll(signal), this.#followRows(signal)]);
  }

  async #sampleAll(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#deps.clock.sleep(SAMPLE_MS, signal);
      this.#sample();
    }
  }

  #sample(): void {
    const { metrics, region, contact, lease, views, hold } = this.#deps;
    const tags = { region };
    metrics.gauge("store.mode", MODE_VALUE[contact.mode()], tags);
    metrics.gauge("catalogue.version", views.catalogue.version, tags);
    metrics.gauge("coordinator.epoch", lease.held()?.epoch ?? 0, tags);
    metrics.gauge("hold.held", hold.heldCount, tags);
    for (const [service, { shards }] of this.#rows) {
      const unassigned = shards.filter((position) => position < 0).length;
      metrics.gauge("assignment.unassigned", unassigned, { region, service });
    }
    this.#sampleUpstreams();
    this.#sampleShares();
  }

  #sampleUpstreams(): void {
    const { metrics, region, renewals } = this.#deps;
    // Services without an upstream here report 0, so that no value stays.
    for (const service of this.#services()) {
      const tags = { region, service };
      const own = renewals.upstreams.filter((one) => one.service === service);
      for (const [state, name] of Object.entries(STATE_METRIC)) {
        const count = own.filter((one) => one.state === state).length;
        metrics.gauge(name, count, tags);
      }
      const sum = (of: (one: typeof own[number]) => number) =>
        own.reduce((total, one) => total + of(one), 0);
      metrics.gauge("upstream.in_flight", sum((one) => one.inFlight), tags);
      metrics.gauge("upstream.queued", sum((one) => one.queued), tags);
    }
  }

  #sampleShares(): void {
    const { metrics, region, renewals, views } = this.#deps;
    const entries = views.catalogue.current?.document.entries ?? {};
    for (const service of this.#services()) {
      const own = renewals.shares.filter(({ entry }) =>
        Object.hasOwn(entries, entry) && entries[entry]?.service === service
      );
      const tags = { region, service };
      const rate = own.reduce((sum, { ratePerS }) => sum + ratePerS, 0);
      const places = own.reduce((sum, one) => sum + one.concurrency, 0);
      metrics.gauge("limit.rate_share", rate, tags);
      metrics.gauge("limit.concurrency_share", places, tags);
    }
  }

  #services(): string[] {
    const { catalogue } = this.#deps.views;
    return Object.keys(catalogue.current?.document.services ?? {});
  }

  async #followRows(signal: AbortSignal): Promise<void> {
    const { assignments } = this.#deps.views;
    while (!signal.aborted) {
      const changed = assignments.changed.next(signal);
      this.#compareRows();
      await changed;
    }
  }

  #compareRows(): void {
    const { metrics, region, lease, views } = this.#deps;
    const epoch = lease.held()?.epoch;
    for (const { row } of views.assignments.all()) {
      if (row.region !== region) continue;
      const { service } = row;
      const before = this.#rows.get(service);
      if (before === row) continue;
      this.#rows.set(service, row);
      // One router counts for the region.
      if (before === undefined || row.coordinatorEpoch !== epoch) continue;
      const moved = countMoved(before, row);
      if (moved === 0) continue;
      metrics.increment("assignment.moved", moved, { region, service });
    }
  }
}

function ownerOf(row: AssignmentRow, shard: number): string | undefined {
  return row.upstreams[row.shards[shard] ?? -1]?.id;
}

function countMoved(before: AssignmentRow, after: AssignmentRow): number {
  return before.shards.filter((_, shard) => {
    const owner = ownerOf(before, shard);
    return owner !== undefined && owner !== ownerOf(after, shard);
  }).length;
}
