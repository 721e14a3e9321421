import { setMaxListeners } from "node:events";
import type { z } from "zod";
import type { DomainLoadExchange } from "../balance/domain_load_exchange.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import { runTask } from "../base/run_task.ts";
import type { DirectMetrics } from "../direct/direct_metrics.ts";
import type { FleetView } from "../direct/fleet_view.ts";
import type { RpcHandler } from "../links/rpc_handler.ts";
import type { RowStore } from "../rows/row_store.ts";
import type { TableRelay } from "../rows/table_relay.ts";
import type { PeerClient } from "../vms/peer_client.ts";
import { waitForChange } from "../vms/wait_for_change.ts";
import type { LeaderLease } from "./leader_lease.ts";
import { KeyLoad } from "./key_load.ts";
import { KeyReport } from "./key_report.ts";
import type { RangeGrants } from "./range_grants.ts";
import { RegionRelays } from "./region_relays.ts";
import { ReportedSlowdowns } from "./reported_slowdowns.ts";
import { ServiceRanges } from "./service_ranges.ts";
import { StepDownRequest } from "./step_down_request.ts";

type Options = {
  store: RowStore;
  table: string;
  self: {
    vm: string;
    incarnation: string;
    region: string;
    peerUrl: string;
    /** Processor cores of this VM; undefined if unknown. */
    cores: number | undefined;
  };
  view: FleetView;
  lease: LeaderLease;
  grants: RangeGrants;
  peers: PeerClient;
  /** This VM's source of store changes, and whether it can relay them. */
  relay: Pick<TableRelay, "setRelay" | "canRelay">;
  /** Loads that are exchanged with the reports. */
  loads?: DomainLoadExchange;
  /** @returns mean service time of requests to a service, in milliseconds */
  workMs: (service: string) => number;
  clock: Clock;
  logger: Logger;
  metrics: DirectMetrics;
  /** Duration of a grant, in milliseconds. */
  holdMs: number;
  signal: AbortSignal;
};
type Report = z.infer<typeof KeyReport.params>;
type ReportResponse = z.infer<typeof KeyReport.result>;
/** Number of requests by service and key. */
type Counts = Map<string, Map<number, number>>;

const IDLE_REPORT_INTERVAL_MS = 700;
/** VMs with requests report more often, so that hot keys are detected early. */
const BUSY_REPORT_INTERVAL_MS = 350;
/** The leader, which may be one of the smallest VMs, handles 100 reports/s. */
const REPORT_INTERVAL_PER_VM_MS = 10;
/** Bounds how late hot keys and a lost leader are detected with many VMs. */
const MAX_REPORT_INTERVAL_MS = 1200;
const REPORT_TIMEOUT_MS = 900;
/** Smaller relative changes of an upstream's slowdown are not reported. */
const MIN_SLOWDOWN_CHANGE_FRACTION = 0.2;
const STEP_DOWN_RETRY_DELAY_MS = 250;
/**
 * A VM that has not reported for this time, or for
 * `REPORTER_TIMEOUT_REPORTS` report intervals if they are longer, is no longer
 * counted.
 */
const MIN_REPORTER_TIMEOUT_MS = 2500;
const REPORTER_TIMEOUT_REPORTS = 3;

/**
 * Assigns key ranges while this VM holds the leader lease, and reports request
 * counts of keys to the leader while another VM holds it.
 */
export class RangeController {
  /** Handle reports of other VMs and step-down requests of a successor. */
  readonly handlers: readonly RpcHandler[];
  readonly #opts: Options;
  /** Requests that this VM has not reported yet. */
  #counts: Counts = new Map();
  /** Request rates of keys, from the reports to this VM, by service. */
  #loads = new Map<string, KeyLoad>();
  /** Slowdowns of upstreams that this VM last reported, by id. */
  readonly #reportedSlowdowns = new Map<string, number>();
  readonly #receivedSlowdowns = new ReportedSlowdowns();
  readonly #relays = new RegionRelays();
  /** Interval in milliseconds at which a VM with requests reports. */
  #reportIntervalMs = BUSY_REPORT_INTERVAL_MS;

  /**
   * @param opts - lease, store, upstreams and peers
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.handlers = [{
      method: KeyReport.method,
      params: KeyReport.params,
      handle: (params) =>
        Promise.resolve(this.#onReport(KeyReport.params.parse(params))),
    }, {
      method: StepDownRequest.method,
      params: StepDownRequest.params,
      handle: () => Promise.resolve({ yielded: opts.lease.stepDown() }),
    }];
  }

  /**
   * Counts a request.
   *
   * @param service - a service whose keys are assigned in ranges
   * @param key - number of the key
   */
  countKey(service: string, key: number): void {
    let keys = this.#counts.get(service);
    if (keys === undefined) {
      keys = new Map();
      this.#counts.set(service, keys);
    }
    keys.set(key, (keys.get(key) ?? 0) + 1);
  }

  /** Sends reports, and assigns ranges while this VM is the leader. */
  async run(): Promise<void> {
    const { signal, metrics } = this.#opts;
    const run = (name: string, task: () => Promise<void>) =>
      runTask(
        {
          ...this.#opts,
          name,
          onError: (place) => metrics.unexpectedErrors.inc({ place }),
        },
        signal,
        task,
      );
    await Promise.all([
      run("leader terms", () => this.#runTerms()),
      run("key reports", () => this.#sendReports()),
      run("predecessor", () => this.#askEarlierLeadersToStepDown()),
    ]);
  }

  /**
   * Asks earlier leaders to stop sending orders, so that the end of the leases
   * they granted is known.
   */
  async #askEarlierLeadersToStepDown(): Promise<void> {
    const { lease, clock, signal } = this.#opts;
    while (!signal.aborted) {
      await Promise.all(
        lease.activeEarlierLeaders.map((leader) => this.#askToStepDown(leader)),
      );
      await clock.sleep(STEP_DOWN_RETRY_DELAY_MS, signal);
    }
  }

  async #askToStepDown(
    { peerUrl, incarnation }: { peerUrl: string; incarnation: string },
  ): Promise<void> {
    const { lease, peers, signal, self, logger } = this.#opts;
    const answer = await peers.call({
      peerUrl,
      method: StepDownRequest.method,
      params: { vm: self.vm },
      result: StepDownRequest.result,
      timeoutMs: REPORT_TIMEOUT_MS,
    }, signal);
    if (answer.isOk() && answer.value.yielded) {
      lease.onEarlierLeaderStopped(incarnation);
    } else {
      logger.info({
        peerUrl,
        err: answer.isErr() ? answer.error : undefined,
      }, "predecessor has not stepped down; will ask it again");
    }
  }

  async #runTerms(): Promise<void> {
    const { lease, clock, signal, view, metrics } = this.#opts;
    const notifiers = [lease.changed, view.changed];
    let term: AbortController | undefined;
    let services = new Set<string>();
    while (!signal.aborted) {
      if (lease.held && term === undefined) {
        term = new AbortController();
        // Each order sent while this VM is the leader adds a listener.
        setMaxListeners(0, term.signal);
        services = new Set();
        this.#loads = new Map();
      } else if (!lease.held && term !== undefined) {
        term.abort();
        term = undefined;
      }
      metrics.isLeader.set(term === undefined ? 0 : 1);
      for (const { name, keyed } of view.config?.services ?? []) {
        if (term === undefined || !keyed || services.has(name)) continue;
        services.add(name);
        void this.#createServiceRanges(name).run(term.signal);
      }
      await waitForChange(
        { clock, ms: IDLE_REPORT_INTERVAL_MS, notifiers },
        signal,
      );
    }
    term?.abort();
  }

  #createServiceRanges(service: string): ServiceRanges {
    const { workMs } = this.#opts;
    return new ServiceRanges({
      ...this.#opts,
      service,
      load: this.#loadOf(service),
      workMs: () => workMs(service),
      speeds: () => this.#receivedSlowdowns.averages,
    });
  }

  #loadOf(service: string): KeyLoad {
    let load = this.#loads.get(service);
    if (load === undefined) {
      load = new KeyLoad(this.#opts.clock.now());
      this.#loads.set(service, load);
    }
    return load;
  }

  async #sendReports(): Promise<void> {
    const { lease, clock, signal, self, relay, view } = this.#opts;
    while (!signal.aborted) {
      const counts: Record<string, [number, number][]> = {};
      for (const [service, keys] of this.#counts) counts[service] = [...keys];
      this.#counts = new Map();
      const leaving = view.unregisteredLeaves;
      const report: Report = {
        ...self,
        canRelay: relay.canRelay,
        counts,
        speeds: this.#changedSlowdowns(),
        loads: this.#opts.loads?.regionLoads(),
        ...(leaving.length === 0 ? {} : { leaving }),
      };
      if (lease.held) this.#onResponse(this.#onReport(report));
      else await this.#sendToLeader(report);
      const busy = Object.keys(counts).length > 0;
      await clock.sleep(
        busy
          ? this.#reportIntervalMs
          : Math.max(IDLE_REPORT_INTERVAL_MS, this.#reportIntervalMs),
        signal,
      );
    }
  }

  /**
   * Returns the slowdowns of upstreams, by id, that differ from those last
   * reported by at least `MIN_SLOWDOWN_CHANGE_FRACTION`.
   */
  #changedSlowdowns(): Record<string, number> {
    const { view, clock } = this.#opts;
    const slowdowns: Record<string, number> = {};
    for (const id of this.#reportedSlowdowns.keys()) {
      if (view.upstream(id) === undefined) this.#reportedSlowdowns.delete(id);
    }
    for (const { entry, load } of view.upstreams) {
      const keyed = view.policy(entry.service)?.keyed === true;
      const slowdown = Math.round(load.typicalSlowdown(clock.now()) * 10) / 10;
      const reported = this.#reportedSlowdowns.get(entry.id) ?? 1;
      if (
        !keyed ||
        Math.abs(slowdown / reported - 1) < MIN_SLOWDOWN_CHANGE_FRACTION
      ) continue;
      this.#reportedSlowdowns.set(entry.id, slowdown);
      slowdowns[entry.id] = slowdown;
    }
    return slowdowns;
  }

  async #sendToLeader(report: Report): Promise<void> {
    const { lease, peers, signal, logger } = this.#opts;
    const { leaderUrl } = lease;
    // The relay is kept while there is no leader. If all VMs followed the store
    // instead, each change would cost as many calls to it as there are VMs.
    if (leaderUrl === undefined) {
      lease.onLeaderUnreachable();
      return;
    }
    const answer = await peers.call({
      peerUrl: leaderUrl,
      method: KeyReport.method,
      params: report,
      result: KeyReport.result,
      timeoutMs: REPORT_TIMEOUT_MS,
    }, signal);
    if (answer.isErr() || !answer.value.keeper) {
      logger.debug({
        keeperUrl: leaderUrl,
        err: answer.isErr() ? answer.error : undefined,
      }, "leader did not accept the report");
      lease.onLeaderUnreachable();
      return;
    }
    this.#onResponse(answer.value);
  }

  #onResponse({ vms, intervalMs, relayUrl, loads }: ReportResponse): void {
    const { view, relay } = this.#opts;
    this.#opts.loads?.onOtherRegions(loads);
    view.setVms(vms);
    this.#reportIntervalMs = intervalMs ?? BUSY_REPORT_INTERVAL_MS;
    relay.setRelay(relayUrl);
  }

  #onReport(report: Report): ReportResponse {
    const { lease, clock, view } = this.#opts;
    const now = clock.now();
    if (!lease.held) return { keeper: false, vms: view.vms };
    const isLeader = lease.confirmed;
    const { vm, region = "", peerUrl = "", canRelay, cores } = report;
    this.#relays.onReport({ vm, region, peerUrl, canRelay, cores }, now);
    this.#relays.removeReportersBefore(
      now -
        Math.max(
          MIN_REPORTER_TIMEOUT_MS,
          REPORTER_TIMEOUT_REPORTS * this.#reportIntervalMs,
        ),
    );
    for (const [service, counts] of Object.entries(report.counts)) {
      this.#loadOf(service).add(counts, now);
    }
    this.#receivedSlowdowns.prune((id) => view.upstream(id) !== undefined);
    this.#receivedSlowdowns.add(report.speeds);
    for (const { id, incarnation } of report.leaving ?? []) {
      view.onLeaveAnnounced(id, incarnation);
    }
    const vms = this.#relays.reporterCount;
    view.setVms(vms);
    this.#reportIntervalMs = Math.min(
      MAX_REPORT_INTERVAL_MS,
      Math.max(BUSY_REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_VM_MS * vms),
    );
    return {
      keeper: isLeader,
      vms,
      intervalMs: this.#reportIntervalMs,
      relayUrl: region === ""
        ? undefined
        : this.#relays.relayOf(region, this.#avoidedRelay()),
      loads: this.#opts.loads?.onRegionLoads(region, report.loads),
    };
  }

  /**
   * Returns the VM that should not be a relay. Relays hold the regions' shares of
   * tenants' limits, and a new leader gives none for some seconds, so a region
   * that loses the leader and its relay at once would serve no tenant.
   */
  #avoidedRelay(): string | undefined {
    const { view, self } = this.#opts;
    return view.config?.tenants === undefined ? undefined : self.vm;
  }
}
