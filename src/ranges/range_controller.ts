import { setMaxListeners } from "node:events";
import type { z } from "zod";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
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
    cores: number | undefined;
  };
  view: FleetView;
  lease: LeaderLease;
  grants: RangeGrants;
  peers: PeerClient;
  /** Where this VM gets changes of the store, and whether it can relay them. */
  relay: Pick<TableRelay, "setRelay" | "canRelay">;
  /** @returns mean time of a service's work, in milliseconds */
  workMs: (service: string) => number;
  clock: Clock;
  logger: Logger;
  metrics: DirectMetrics;
  holdMs: number;
  signal: AbortSignal;
};
type Report = z.infer<typeof KeyReport.params>;
type ReportAnswer = z.infer<typeof KeyReport.result>;
type Counts = Map<string, Map<number, number>>;

const REPORT_MS = 700;
/** Hot keys are to be seen early; a VM without requests reports less often. */
const REPORT_BUSY_MS = 350;
/** The leader, which may be one of the smallest VMs, takes 100 a second. */
const REPORT_PER_VM_MS = 10;
/** Hot keys and a lost leader are noticed by reports at any size. */
const MAX_REPORT_MS = 1200;
const REPORT_TIMEOUT_MS = 900;
/** Smaller changes of an upstream's speed are not worth a message. */
const MIN_SPEED_CHANGE = 0.2;
const STEP_DOWN_RETRY_MS = 250;
/** A VM that has not reported for this long, or so often, is not counted. */
const REPORTER_MS = 2500;
const REPORTER_REPORTS = 3;

/**
 * Assigns the key ranges while this VM has the lease, and reports the rates of
 * keys to the leader while another one has it.
 */
export class RangeController {
  /** Take reports of other VMs and the requests of later leaders. */
  readonly handlers: readonly RpcHandler[];
  readonly #opts: Options;
  #counts: Counts = new Map();
  #loads = new Map<string, KeyLoad>();
  /** Speeds of upstreams that this VM has reported to the leader. */
  readonly #reportedSpeeds = new Map<string, number>();
  /** Speeds of upstreams that VMs have reported to this one. */
  readonly #receivedSpeeds = new Map<string, number>();
  readonly #relays = new RegionRelays();
  /** How often this VM reports while it has requests. */
  #intervalMs = REPORT_BUSY_MS;

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
   * @param service - a service that is divided by key
   * @param key - number of the key
   */
  onKey(service: string, key: number): void {
    let keys = this.#counts.get(service);
    if (keys === undefined) {
      keys = new Map();
      this.#counts.set(service, keys);
    }
    keys.set(key, (keys.get(key) ?? 0) + 1);
  }

  /** Reports, and assigns ranges while the lease is held. */
  async run(): Promise<void> {
    await Promise.all([
      this.#runTerms(),
      this.#report(),
      this.#stopPredecessor(),
    ]);
  }

  /** Asks the earlier leader to stop, so that its leases can be counted out. */
  async #stopPredecessor(): Promise<void> {
    const { lease, peers, clock, signal, self, logger } = this.#opts;
    while (!signal.aborted) {
      const peerUrl = lease.predecessorUrl;
      if (peerUrl !== undefined) {
        const answer = await peers.call({
          peerUrl,
          method: StepDownRequest.method,
          params: { vm: self.vm },
          result: StepDownRequest.result,
          timeoutMs: REPORT_TIMEOUT_MS,
        }, signal);
        if (answer.isOk() && answer.value.yielded) lease.onPredecessorStopped();
        else {
          logger.info({
            peerUrl,
            err: answer.isErr() ? answer.error : undefined,
          }, "earlier leader has not stepped down");
        }
      }
      await clock.sleep(STEP_DOWN_RETRY_MS, signal);
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
        // Each order of the term listens to it.
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
        void this.#service(name).run(term.signal);
      }
      await waitForChange({ clock, ms: REPORT_MS, notifiers }, signal);
    }
    term?.abort();
  }

  #service(service: string): ServiceRanges {
    const { workMs } = this.#opts;
    return new ServiceRanges({
      ...this.#opts,
      service,
      load: this.#load(service),
      workMs: () => workMs(service),
      speeds: () => this.#receivedSpeeds,
    });
  }

  #load(service: string): KeyLoad {
    let load = this.#loads.get(service);
    if (load === undefined) {
      load = new KeyLoad(this.#opts.clock.now());
      this.#loads.set(service, load);
    }
    return load;
  }

  async #report(): Promise<void> {
    const { lease, clock, signal, self, relay } = this.#opts;
    while (!signal.aborted) {
      const counts: Record<string, [number, number][]> = {};
      for (const [service, keys] of this.#counts) counts[service] = [...keys];
      this.#counts = new Map();
      const report: Report = {
        ...self,
        canRelay: relay.canRelay,
        counts,
        speeds: this.#speeds(),
      };
      if (lease.held) this.#onAnswer(this.#onReport(report));
      else await this.#send(report);
      const busy = Object.keys(counts).length > 0;
      await clock.sleep(
        busy ? this.#intervalMs : Math.max(REPORT_MS, this.#intervalMs),
        signal,
      );
    }
  }

  /** Upstreams of services with keys whose speed the leader does not know. */
  #speeds(): Record<string, number> {
    const { view, clock } = this.#opts;
    const speeds: Record<string, number> = {};
    for (const id of this.#reportedSpeeds.keys()) {
      if (view.upstream(id) === undefined) this.#reportedSpeeds.delete(id);
    }
    for (const { entry, load } of view.upstreams) {
      const keyed = view.policy(entry.service)?.keyed === true;
      const speed = Math.round(load.usualTime(clock.now()) * 10) / 10;
      const reported = this.#reportedSpeeds.get(entry.id) ?? 1;
      if (!keyed || Math.abs(speed / reported - 1) < MIN_SPEED_CHANGE) continue;
      this.#reportedSpeeds.set(entry.id, speed);
      speeds[entry.id] = speed;
    }
    return speeds;
  }

  async #send(report: Report): Promise<void> {
    const { lease, peers, signal, logger, relay } = this.#opts;
    const { leaderUrl } = lease;
    if (leaderUrl === undefined) {
      relay.setRelay(undefined);
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
      }, "report not taken");
      relay.setRelay(undefined);
      lease.onLeaderUnreachable();
      return;
    }
    this.#onAnswer(answer.value);
  }

  #onAnswer({ vms, intervalMs, relayUrl }: ReportAnswer): void {
    const { view, relay } = this.#opts;
    view.setVms(vms);
    this.#intervalMs = intervalMs ?? REPORT_BUSY_MS;
    relay.setRelay(relayUrl);
  }

  #onReport(report: Report): ReportAnswer {
    const { lease, clock, view } = this.#opts;
    const now = clock.now();
    lease.onPeer(report.vm, report.incarnation);
    if (!lease.held) return { keeper: false, vms: view.vms };
    const isLeader = lease.confirmed;
    const { vm, region = "", peerUrl = "", canRelay, cores } = report;
    this.#relays.onReport({ vm, region, peerUrl, canRelay, cores }, now);
    this.#relays.forget(
      now - Math.max(REPORTER_MS, REPORTER_REPORTS * this.#intervalMs),
    );
    for (const [service, counts] of Object.entries(report.counts)) {
      this.#load(service).add(counts, now);
    }
    for (const id of this.#receivedSpeeds.keys()) {
      if (view.upstream(id) === undefined) this.#receivedSpeeds.delete(id);
    }
    for (const [id, speed] of Object.entries(report.speeds)) {
      const before = this.#receivedSpeeds.get(id);
      this.#receivedSpeeds.set(
        id,
        before === undefined ? speed : (before + speed) / 2,
      );
    }
    const vms = this.#relays.count;
    view.setVms(vms);
    this.#intervalMs = Math.min(
      MAX_REPORT_MS,
      Math.max(REPORT_BUSY_MS, REPORT_PER_VM_MS * vms),
    );
    return {
      keeper: isLeader,
      vms,
      intervalMs: this.#intervalMs,
      relayUrl: region === "" ? undefined : this.#relays.relayOf(region),
    };
  }
}
