import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import { FleetRetryBudget } from "../limits/fleet_retry_budget.ts";
import { PeerListener } from "../links/peer_listener.ts";
import { rpcServer } from "../links/rpc_server.ts";
import { LeaderLease } from "../ranges/leader_lease.ts";
import { RangeController } from "../ranges/range_controller.ts";
import type { RangeGrants } from "../ranges/range_grants.ts";
import { readRangeTable } from "../ranges/read_range_table.ts";
import type { RowStore } from "../rows/row_store.ts";
import { TableFollower } from "../rows/table_follower.ts";
import { TableRelay } from "../rows/table_relay.ts";
import { HttpPeerClient } from "../vms/http_peer_client.ts";
import { DirectListener } from "./direct_listener.ts";
import type { DirectMetrics } from "./direct_metrics.ts";
import { DirectRouter } from "./direct_router.ts";
import type { DirectSettings } from "./direct_settings.ts";
import { FleetView } from "./fleet_view.ts";
import type { RowSource } from "./row_source.ts";
import { TextListener } from "./text_listener.ts";
import type { WireProtocol } from "./wire_protocol.ts";
import { WorkTimes } from "./work_times.ts";

type Options = {
  cfg: DirectSettings;
  clock: Clock;
  logger: Logger;
  metrics: DirectMetrics;
  store: RowStore;
  protocol: WireProtocol;
  /** Path of the readiness page. */
  readinessPath: string;
  /** Credential that VMs show to each other. */
  peerCredential: string;
  /** @param signal - ends the use of connections */
  grants: (signal: AbortSignal) => RangeGrants;
  /** Tables of operators and upstreams. */
  sources: (
    view: FleetView,
  ) => { operators: RowSource; registry: RowSource };
};

const RANGES_TABLE = "fescuerun-ranges";
const LEADER_TABLE = "fescuerun-keeper";
const METRICS_PATH = "/metrics";
/**
 * A feed call that stays open is silent for at most this long and a second,
 * which is what keeps changes in force within 2.5 s when a connection dies.
 */
const FEED_WAIT_MS = 3000;
/** The VMs of a region rely on their relay. */
const FEED_WAIT_RELAY_MS = 1000;
/** Calls to the store are billed; a tenth of the time for changes (2.5 s). */
const GATHER_MS = 250;
/** Each VM adds a call for each change that no relay brings. */
const GATHER_PER_VM_MS = 10;
const MAX_GATHER_MS = 1000;
/** Callers wait for keys that move. */
const GATHER_OWNERS_MS = 80;
/** Number of VMs until the leader has counted them. */
const ASSUMED_VMS = 12;
const DEFAULT_BODY_BYTES = 1024 * 1024;
/**
 * Readiness must have failed twice, a second apart, before a VM is left out.
 */
const READINESS_DELAY_MS = 2600;
/**
 * Part of the time to stop after which no request is taken any more. The rest
 * is for requests in flight.
 */
const TAKING_PART = 0.5;
/** Keys without owners do not keep a VM from being ready for longer. */
const OWNERS_WAIT_MS = 6000;
/** Fits twice into the time that a new leader takes to be found. */
const HOLD_MS = 4000;
const SWEEP_MS = 250;

/** Reports are small, and a peer that is well sends them at once. */
const PEER_REQUESTS = { maxHeaderBytes: 8192, headersTimeoutMs: 2000 };

/** A router process that sends callers' requests straight to upstreams. */
export class DirectDaemon {
  readonly #opts: Options;
  readonly #end = new AbortController();
  readonly #view: FleetView;
  readonly #operators: TableFollower;
  readonly #registry: TableFollower;
  readonly #ranges: TableFollower;
  readonly #relay: TableRelay;
  readonly #lease: LeaderLease;
  readonly #rangeController: RangeController;
  readonly #callers: DirectListener;
  readonly #peers: PeerListener;
  readonly #readiness: TextListener;
  readonly #metrics: TextListener;
  readonly #budget: FleetRetryBudget;
  readonly #startedAt: number;
  #ready = false;

  /**
   * @param opts - settings, store and protocol
   */
  constructor(opts: Options) {
    this.#opts = opts;
    const { cfg, clock, logger, metrics, store, protocol } = opts;
    setMaxListeners(0, this.#end.signal);
    this.#startedAt = clock.now();
    const view = new FleetView({
      clock,
      logger,
      regionOf: cfg.regionOf,
      assumedVms: ASSUMED_VMS,
    });
    this.#view = view;
    const sources = opts.sources(view);
    const gatherMs = () =>
      this.#relay.relaying ? GATHER_MS : Math.min(
        MAX_GATHER_MS,
        Math.max(GATHER_MS, GATHER_PER_VM_MS * view.vms),
      );
    this.#operators = this.#follow(sources.operators, gatherMs);
    this.#registry = this.#follow(
      sources.registry,
      gatherMs,
      () => view.onRegistryReconnected(),
    );
    this.#ranges = this.#follow(this.#rangeSource(), () => GATHER_OWNERS_MS);
    const peers = new HttpPeerClient({
      credential: opts.peerCredential,
      clock,
      signal: this.#end.signal,
    });
    const peerUrl = `http://${cfg.listen.peers}`;
    this.#relay = new TableRelay({
      followers: [this.#operators, this.#registry, this.#ranges],
      selfUrl: peerUrl,
      peers,
      clock,
      logger,
      signal: this.#end.signal,
    });
    const self = { vm: cfg.vm, incarnation: randomUUID(), peerUrl };
    this.#lease = new LeaderLease({
      store,
      table: LEADER_TABLE,
      self,
      cores: cfg.cores,
      clock,
      logger,
      signal: this.#end.signal,
    });
    const work = new WorkTimes();
    this.#rangeController = new RangeController({
      store,
      table: RANGES_TABLE,
      self: { ...self, region: cfg.region, cores: cfg.cores },
      view,
      lease: this.#lease,
      grants: opts.grants(this.#end.signal),
      relay: this.#relay,
      peers,
      workMs: (service) => work.meanOfService(service, view.config),
      clock,
      logger,
      metrics,
      holdMs: Math.min(HOLD_MS, cfg.maxHoldMs),
      signal: this.#end.signal,
    });
    this.#budget = new FleetRetryBudget({
      clock,
      bound: cfg.retries,
      vms: () => view.vms,
    });
    this.#callers = new DirectListener({
      clock,
      logger,
      router: new DirectRouter({
        view,
        work,
        protocol,
        budget: this.#budget,
        clock,
        logger,
        metrics,
        place: cfg,
        onKey: (service, key) => this.#rangeController.onKey(service, key),
        onStaleOwnership: () => this.#relay.refresh(),
      }),
      protocol,
      maxBodyBytes: () =>
        view.config?.requests.maxBodyBytes ?? DEFAULT_BODY_BYTES,
      readinessDelayMs: READINESS_DELAY_MS,
    });
    const rpc = rpcServer({
      handlers: [...this.#rangeController.handlers, this.#relay.handler],
      credential: opts.peerCredential,
      logger,
      signal: this.#end.signal,
    });
    this.#peers = new PeerListener({
      clock,
      requests: PEER_REQUESTS,
      rpc: (req, res) => void rpc(req, res),
      hop: undefined,
      logger,
    });
    this.#readiness = new TextListener(opts.readinessPath, () => {
      const ready = this.#isReady();
      return { status: ready ? 200 : 503, text: ready ? "ready" : "not ready" };
    });
    this.#metrics = new TextListener(METRICS_PATH, async () => ({
      status: 200,
      text: await metrics.registry.metrics(),
    }));
  }

  /**
   * Serves until `stop` aborts, and then stops without cutting a request.
   *
   * @param stop - begins the graceful stop
   * @returns a promise that resolves when everything has ended; rejects when a
   * listener cannot be opened
   */
  async run(stop: AbortSignal): Promise<void> {
    const { cfg, logger } = this.#opts;
    const { signal } = this.#end;
    await this.#peers.listen(cfg.listen.peers);
    await this.#readiness.listen(cfg.listen.readiness);
    if (cfg.listen.metrics !== undefined) {
      await this.#metrics.listen(cfg.listen.metrics);
    }
    await this.#callers.listen(cfg.listen.callers);
    logger.info({ listen: cfg.listen }, "router started");
    const tasks = Promise.all([
      this.#operators.run(signal),
      this.#registry.run(signal),
      this.#ranges.run(signal),
      this.#lease.run(),
      this.#rangeController.run(),
      this.#relay.run(),
      this.#sweep(),
    ]);
    if (!stop.aborted) {
      await new Promise((resolve) =>
        stop.addEventListener("abort", resolve, { once: true })
      );
    }
    await this.#stop();
    await tasks;
    logger.info({}, "router stopped");
  }

  /**
   * Applies changed settings. Addresses and the VM's place stay as they were
   * at the start.
   *
   * @param cfg - checked settings
   */
  reload(cfg: Pick<DirectSettings, "retries">): void {
    this.#budget.setBound(cfg.retries);
  }

  async #stop(): Promise<void> {
    const { cfg, logger } = this.#opts;
    logger.info({ stopMs: cfg.stopMs }, "graceful stop begins");
    const quiet = AbortSignal.timeout(cfg.stopMs * TAKING_PART);
    await Promise.all([this.#callers.drain(quiet), this.#lease.release()]);
    this.#end.abort();
    this.#peers.close();
    this.#readiness.close();
    this.#metrics.close();
  }

  /** Applies what depends on time alone. */
  async #sweep(): Promise<void> {
    const { clock } = this.#opts;
    const { signal } = this.#end;
    while (!signal.aborted) {
      this.#view.dropMissing();
      const idleMs = this.#view.config?.requests.idleTimeoutMs;
      if (idleMs !== undefined) this.#callers.setIdleTimeout(idleMs);
      await clock.sleep(SWEEP_MS, signal);
    }
  }

  #isReady(): boolean {
    const { clock, logger } = this.#opts;
    const { config } = this.#view;
    const known = config !== undefined && this.#registry.synced;
    const owned =
      config?.services.every(({ name, keyed }) =>
        !keyed || this.#view.ranges(name) !== undefined
      ) ?? false;
    const waited = clock.now() - this.#startedAt > OWNERS_WAIT_MS;
    const ready = known && (owned || waited) && !this.#callers.draining;
    if (ready !== this.#ready) {
      this.#ready = ready;
      logger.info({ ready, known, owned }, "readiness changed");
    }
    return ready;
  }

  #rangeSource(): RowSource {
    const { logger } = this.#opts;
    const apply = (row: Parameters<typeof readRangeTable>[0]) => {
      const table = readRangeTable(row, logger);
      if (table !== undefined) this.#view.setRanges(row.key, table);
    };
    return {
      table: RANGES_TABLE,
      onSnapshot: (rows) => rows.forEach(apply),
      onChanges: (changes) => {
        for (const change of changes) {
          if (change.kind === "written") apply(change.row);
        }
      },
    };
  }

  #follow(
    source: RowSource,
    gatherMs: () => number,
    onReconnected?: () => void,
  ): TableFollower {
    const { store, clock, logger } = this.#opts;
    return new TableFollower({
      ...source,
      store,
      clock,
      logger,
      waitMs: () => this.#relay.relaying ? FEED_WAIT_RELAY_MS : FEED_WAIT_MS,
      gatherMs,
      ...(onReconnected === undefined ? {} : { onReconnected }),
    });
  }
}
