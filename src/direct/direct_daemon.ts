import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import { DomainBalance } from "../balance/domain_balance.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import { runTask } from "../base/run_task.ts";
import { FleetRetryBudget } from "../limits/fleet_retry_budget.ts";
import { LeasedTenantLimiter } from "../limits/leased_tenant_limiter.ts";
import { PeerListener } from "../links/peer_listener.ts";
import { rpcServer } from "../links/rpc_server.ts";
import { LeaderLease } from "../ranges/leader_lease.ts";
import { RangeController } from "../ranges/range_controller.ts";
import type { RangeGrants } from "../ranges/range_grants.ts";
import { rangeRowCodec } from "../ranges/range_row_codec.ts";
import { readRangeTable } from "../ranges/read_range_table.ts";
import type { Row } from "../rows/row.ts";
import type { RowOrigin } from "../rows/row_origin.ts";
import type { RowStore } from "../rows/row_store.ts";
import { followTimesFor } from "../rows/follow_times_for.ts";
import { TableFollower } from "../rows/table_follower.ts";
import { TableRelay } from "../rows/table_relay.ts";
import { HttpPeerClient } from "../vms/http_peer_client.ts";
import { createClientBudget } from "./create_client_budget.ts";
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
  /** Path of the readiness check. */
  readinessPath: string;
  /** Credential with which VMs authenticate to each other. */
  peerCredential: string;
  /** @param signal - closes the connections for grants */
  grants: (signal: AbortSignal) => RangeGrants;
  /** Tables that operators and upstreams write. */
  sources: (
    view: FleetView,
  ) => { operators: RowSource; registry: RowSource };
};

const RANGES_TABLE = "fescuerun-ranges";
/** Outer name: the table of the leader lease. */
const LEADER_TABLE = "fescuerun-keeper";
const METRICS_PATH = "/metrics";
/**
 * Upstreams reject requests for keys that they do not own, so old rows of key
 * owners cause retries, but no wrong result.
 */
const OWNERS_FEED_WAIT_MS = 3000;
/** Shorter on a relay, on which the other VMs of its region depend. */
const OWNERS_RELAY_FEED_WAIT_MS = 1000;
const OWNERS_RELAY_MAX_AGE_MS = 1600;
const OWNERS_MAX_AGE_MS = 3000;
/**
 * Pause between feed calls, in which changes are batched because calls to the
 * store are billed. A tenth of the 2.5 s in which changes must be in force.
 */
const FEED_BATCH_MS = 250;
/**
 * On VMs that are not a relay, the pause is longer in proportion to the number
 * of VMs: each of them makes a feed call for each change that it does not get
 * from a relay.
 */
const FEED_BATCH_PER_VM_MS = 10;
const MAX_FEED_BATCH_MS = 1000;
/** Shorter for key owners, since callers wait while keys are reassigned. */
const OWNERS_FEED_BATCH_MS = 80;
/** Number of VMs that is assumed until the leader has counted them. */
const ASSUMED_VMS = 12;
const DEFAULT_MAX_BODY_BYTES = 1024 * 1024;
/**
 * Shortest time for which a drain keeps accepting connections. Callers stop
 * using a VM only after its readiness check has failed twice, one second apart.
 */
const READINESS_DELAY_MS = 2600;
/**
 * Fraction of the time to stop after which no more requests are accepted. The
 * remaining time is for requests in flight. Below a half, since a busy process
 * handles the signal late.
 */
const DRAIN_ACCEPT_FRACTION = 0.45;
/**
 * Time before the process is killed at which requests in flight are answered
 * although they have not ended.
 */
const CUT_OFF_BEFORE_KILL_MS = 250;
/**
 * After this time, a VM that has read the configuration and the registry
 * becomes ready even if keys have no known owners.
 */
const MAX_OWNERS_WAIT_MS = 6000;
/**
 * Longest lease on keys. Two of them fit into the time until a new leader is
 * elected.
 */
const MAX_GRANT_HOLD_MS = 4000;
const PERIODIC_TASKS_INTERVAL_MS = 250;
/** A process that runs late by as much is logged. */
const LOGGED_DELAY_MS = 250;

/** Reports are small, and a healthy peer sends them without delay. */
const PEER_REQUEST_LIMITS = { maxHeaderBytes: 8192, headersTimeoutMs: 2000 };

/**
 * Runs a router that sends callers' requests directly to upstreams: its
 * listeners, the feeds of its tables, and the assignment of key ranges.
 */
export class DirectDaemon {
  readonly #opts: Options;
  readonly #shutdown = new AbortController();
  readonly #view: FleetView;
  readonly #operatorsFollower: TableFollower;
  readonly #registryFollower: TableFollower;
  readonly #rangesFollower: TableFollower;
  readonly #relay: TableRelay;
  readonly #lease: LeaderLease;
  readonly #rangeController: RangeController;
  readonly #callerListener: DirectListener;
  readonly #peerListener: PeerListener;
  readonly #readinessListener: TextListener;
  readonly #metricsListener: TextListener;
  readonly #budget: FleetRetryBudget;
  readonly #tenantLimiter: LeasedTenantLimiter;
  readonly #startedAt: number;
  #ready = false;

  /**
   * @param opts - settings, store and protocol
   */
  constructor(opts: Options) {
    this.#opts = opts;
    const { cfg, clock, logger, metrics, store, protocol } = opts;
    setMaxListeners(0, this.#shutdown.signal);
    this.#startedAt = clock.now();
    const view = new FleetView({
      clock,
      logger,
      regionOf: cfg.regionOf,
      assumedVms: ASSUMED_VMS,
      changeBoundMs: cfg.changeBoundMs,
      contactMs: cfg.contactMs,
    });
    this.#view = view;
    const sources = opts.sources(view);
    const batchMs = () =>
      this.#relay.isRelay ? FEED_BATCH_MS : Math.min(
        MAX_FEED_BATCH_MS,
        Math.max(FEED_BATCH_MS, FEED_BATCH_PER_VM_MS * view.vms),
      );
    const times = followTimesFor(cfg.changeBoundMs);
    const bounded = {
      boundMs: cfg.changeBoundMs,
      times: () => times,
      batchMs,
    };
    this.#operatorsFollower = this.#follow(sources.operators, bounded);
    this.#registryFollower = this.#follow(sources.registry, {
      ...bounded,
      onReconnected: (outage) => view.onRegistryReconnected(outage),
    });
    this.#rangesFollower = this.#follow(this.#rangeSource(), {
      boundMs: Infinity,
      times: () => ({
        feedWaitMs: this.#relay.isRelay
          ? OWNERS_RELAY_FEED_WAIT_MS
          : OWNERS_FEED_WAIT_MS,
        responseTimeoutMs: times.responseTimeoutMs,
        relayMaxAgeMs: OWNERS_RELAY_MAX_AGE_MS,
        maxAgeMs: OWNERS_MAX_AGE_MS,
      }),
      batchMs: () => OWNERS_FEED_BATCH_MS,
      codec: rangeRowCodec,
    });
    const peerClient = new HttpPeerClient({
      credential: opts.peerCredential,
      clock,
      signal: this.#shutdown.signal,
    });
    const peerUrl = `http://${cfg.listen.peers}`;
    const work = new WorkTimes();
    const workMs = (service: string) =>
      work.meanOfService(service, view.config);
    const balance = new DomainBalance({ ...opts, location: cfg, view, workMs });
    this.#relay = new TableRelay({
      loads: balance.exchange,
      followers: [
        this.#operatorsFollower,
        this.#registryFollower,
        this.#rangesFollower,
      ],
      boundMs: cfg.changeBoundMs,
      selfUrl: peerUrl,
      peers: peerClient,
      clock,
      logger,
      signal: this.#shutdown.signal,
    });
    const self = { vm: cfg.vm, incarnation: randomUUID(), peerUrl };
    this.#lease = new LeaderLease({
      store,
      table: LEADER_TABLE,
      self,
      cores: cfg.cores,
      clock,
      logger,
      signal: this.#shutdown.signal,
    });
    this.#rangeController = new RangeController({
      store,
      table: RANGES_TABLE,
      self: { ...self, region: cfg.region, cores: cfg.cores },
      view,
      lease: this.#lease,
      grants: opts.grants(this.#shutdown.signal),
      relay: this.#relay,
      loads: balance.exchange,
      peers: peerClient,
      workMs,
      clock,
      logger,
      metrics,
      holdMs: Math.min(MAX_GRANT_HOLD_MS, cfg.maxHoldMs),
      signal: this.#shutdown.signal,
    });
    this.#budget = new FleetRetryBudget({
      clock,
      bound: cfg.retries,
      vms: () => view.vms,
    });
    this.#tenantLimiter = new LeasedTenantLimiter({
      self,
      lease: this.#lease,
      relay: this.#relay,
      tenants: () => view.config?.tenants,
      tenantsChanged: view.changed,
      bound: cfg.quota,
      peers: peerClient,
      clock,
      logger,
      metrics,
      signal: this.#shutdown.signal,
    });
    const clients = createClientBudget({
      cfg: cfg.clients,
      clock,
      logger,
      metrics,
    });
    this.#callerListener = new DirectListener({
      clients,
      clock,
      logger,
      router: new DirectRouter({
        view,
        work,
        protocol,
        budget: this.#budget,
        limiter: this.#tenantLimiter,
        clock,
        logger,
        metrics,
        location: cfg,
        balance,
        countKey: (service, key) =>
          this.#rangeController.countKey(service, key),
        onStaleOwnership: () => this.#relay.refresh(),
        configAgeMs: () => this.#operatorsFollower.ageMs,
        registryAgeMs: () => this.#registryFollower.ageMs,
      }),
      protocol,
      maxBodyBytes: () =>
        view.config?.requests.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
      bodyMemoryBytes: cfg.bodyMemoryBytes,
      metrics,
      readinessDelayMs: READINESS_DELAY_MS,
    });
    const rpc = rpcServer({
      handlers: [
        ...this.#rangeController.handlers,
        this.#relay.handler,
        ...this.#tenantLimiter.handlers,
      ],
      credential: opts.peerCredential,
      logger,
      signal: this.#shutdown.signal,
    });
    this.#peerListener = new PeerListener({
      clock,
      requests: PEER_REQUEST_LIMITS,
      rpc: (req, res) => void rpc(req, res),
      hop: undefined,
      clients,
      logger,
    });
    this.#readinessListener = new TextListener(opts.readinessPath, () => {
      const ready = this.#isReady();
      return { status: ready ? 200 : 503, text: ready ? "ready" : "not ready" };
    }, { clock, budget: clients });
    this.#metricsListener = new TextListener(METRICS_PATH, async () => ({
      status: 200,
      text: await metrics.registry.metrics(),
    }), { clock, budget: clients });
  }

  /**
   * Serves until `stop` aborts, and then stops gracefully without interrupting
   * requests in flight.
   *
   * @param stop - starts the graceful stop when it aborts
   * @returns a promise that resolves when the router has stopped; rejects when
   * a listener cannot be opened
   */
  async run(stop: AbortSignal): Promise<void> {
    const { cfg, logger } = this.#opts;
    const { signal } = this.#shutdown;
    await this.#peerListener.listen(cfg.listen.peers);
    await this.#readinessListener.listen(cfg.listen.readiness);
    if (cfg.listen.metrics !== undefined) {
      await this.#metricsListener.listen(cfg.listen.metrics);
    }
    await this.#callerListener.listen(cfg.listen.callers);
    logger.info({ listen: cfg.listen }, "router started");
    const run = (name: string, task: () => Promise<void>) =>
      runTask(
        { ...this.#opts, name, onError: this.#onTaskError },
        signal,
        task,
      );
    const tasks = Promise.all([
      run("operators feed", () => this.#operatorsFollower.run(signal)),
      run("registry feed", () => this.#registryFollower.run(signal)),
      run("key owners feed", () => this.#rangesFollower.run(signal)),
      run("leader lease", () => this.#lease.run()),
      this.#rangeController.run(),
      this.#tenantLimiter.run(),
      run("relay", () => this.#relay.run()),
      run("periodic tasks", () => this.#runPeriodicTasks()),
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
   * Applies changed settings. Addresses and the VM's location need a restart.
   *
   * @param cfg - validated settings
   */
  reload(cfg: Pick<DirectSettings, "retries" | "quota">): void {
    this.#budget.setBound(cfg.retries);
    this.#tenantLimiter.setBound(cfg.quota);
  }

  async #stop(): Promise<void> {
    const { cfg, logger } = this.#opts;
    logger.info({ stopMs: cfg.stopMs }, "graceful stop started");
    const acceptTimeout = AbortSignal.timeout(
      cfg.stopMs * DRAIN_ACCEPT_FRACTION,
    );
    await Promise.all([
      this.#callerListener.drain({
        stopMs: Math.max(0, cfg.stopMs - CUT_OFF_BEFORE_KILL_MS),
        signal: acceptTimeout,
      }),
      this.#lease.release(),
    ]);
    this.#shutdown.abort();
    this.#peerListener.close();
    this.#readinessListener.close();
    this.#metricsListener.close();
  }

  /** Periodically removes missing upstreams and applies the idle timeout. */
  async #runPeriodicTasks(): Promise<void> {
    const { clock, logger, metrics } = this.#opts;
    const { signal } = this.#shutdown;
    let dueAt = clock.now();
    while (!signal.aborted) {
      const delayMs = Math.max(0, clock.now() - dueAt);
      metrics.processDelay.observe(delayMs / 1000);
      if (delayMs >= LOGGED_DELAY_MS) {
        logger.warn({ delayMs: Math.round(delayMs) }, "process ran late");
      }
      this.#view.removeMissing();
      this.#checkAges();
      const idleMs = this.#view.config?.requests.idleTimeoutMs;
      if (idleMs !== undefined) this.#callerListener.setIdleTimeout(idleMs);
      dueAt = clock.now() + PERIODIC_TASKS_INTERVAL_MS;
      await clock.sleep(PERIODIC_TASKS_INTERVAL_MS, signal);
    }
  }

  #checkAges(): void {
    const { metrics } = this.#opts;
    for (
      const follower of [
        this.#operatorsFollower,
        this.#registryFollower,
        this.#rangesFollower,
      ]
    ) {
      const { table, ageMs, synced } = follower;
      if (synced) metrics.tableAge.set({ table }, ageMs / 1000);
      if (follower.checkAge()) metrics.overdueTables.inc({ table });
    }
  }

  readonly #onTaskError = (place: string): void =>
    this.#opts.metrics.unexpectedErrors.inc({ place });

  #isReady(): boolean {
    const { clock, logger } = this.#opts;
    const { config } = this.#view;
    const known = config !== undefined && this.#registryFollower.synced;
    const owned =
      config?.services.every(({ name, keyed }) =>
        !keyed || this.#view.ranges(name) !== undefined
      ) ?? false;
    const waited = clock.now() - this.#startedAt > MAX_OWNERS_WAIT_MS;
    const ready = known && (owned || waited) && !this.#callerListener.draining;
    if (ready !== this.#ready) {
      this.#ready = ready;
      logger.info({ ready, known, owned }, "readiness changed");
    }
    return ready;
  }

  #rangeSource(): RowSource {
    const { logger } = this.#opts;
    const apply = (row: Row, origin: RowOrigin) => {
      const table = readRangeTable(row, logger, origin.era);
      if (table !== undefined) this.#view.setRanges(row.key, table);
    };
    return {
      table: RANGES_TABLE,
      onSnapshot: (rows, origin) => rows.forEach((row) => apply(row, origin)),
      onChanges: (changes, origin) => {
        for (const change of changes) {
          if (change.kind === "written") apply(change.row, origin);
        }
      },
    };
  }

  #follow(
    source: RowSource,
    timing: Pick<
      ConstructorParameters<typeof TableFollower>[0],
      "boundMs" | "times" | "batchMs" | "onReconnected" | "codec"
    >,
  ): TableFollower {
    const { store, clock, logger } = this.#opts;
    return new TableFollower({ ...source, ...timing, store, clock, logger });
  }
}
