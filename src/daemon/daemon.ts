import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import type { Logger } from "../base/logger.ts";
import { StatsdMetrics } from "../base/statsd_metrics.ts";
import { systemClock } from "../base/system_clock.ts";
import { ShareHolder } from "../limits/share_holder.ts";
import { PeerListener } from "../links/peer_listener.ts";
import { rpcServer } from "../links/rpc_server.ts";
import type { Settings } from "../settings/settings.ts";
import { AdminListener } from "./admin_listener.ts";
import { Coordination } from "./coordination.ts";
import type { DaemonContext } from "./daemon_context.ts";
import { DataPlane } from "./data_plane.ts";
import { Membership } from "./membership.ts";
import { PlatformContracts } from "./platform_contracts.ts";
import { MetricsReporter } from "./metrics_reporter.ts";
import { RenewalMetrics } from "./renewal_metrics.ts";
import { Views } from "./views.ts";

/**
 * Longest time for handing over leases, notifying the other routers that this
 * one leaves, and removing its member row.
 */
const LEAVE_TIMEOUT_MS = 10_000;
/**
 * Longest wait in a graceful stop until requests no longer arrive on the
 * connections. Requests in flight are awaited even beyond it.
 */
const DRAIN_TIMEOUT_MS = 60_000;

/** Assembles and runs a router process of mode `serve`. */
export class Daemon {
  readonly #context: DaemonContext;
  readonly #metrics: StatsdMetrics;
  readonly #shutdown = new AbortController();
  readonly #membership: Membership;
  readonly #coordination: Coordination;
  readonly #dataPlane: DataPlane;
  readonly #peerListener: PeerListener;
  readonly #admin: AdminListener;
  readonly #reporter: MetricsReporter;

  /**
   * @param cfg - checked settings
   * @param peerCredential - credential with which routers authenticate to each
   * other
   * @param logger - log of the process
   */
  constructor(cfg: Settings, peerCredential: string, logger: Logger) {
    // Every task and request of the process listens to this signal. Without
    // this, Node.js warns of a leak at more than ten listeners.
    setMaxListeners(0, this.#shutdown.signal);
    this.#metrics = new StatsdMetrics({
      address: cfg.metrics.statsd,
      prefix: cfg.metrics.prefix,
      vm: cfg.vm,
    }, logger);
    this.#context = {
      cfg,
      self: {
        vm: cfg.vm,
        incarnation: randomUUID(),
        region: cfg.region,
        failureDomain: cfg.failureDomain,
        peerUrl: `http://${cfg.advertisePeers ?? cfg.listen.peers}`,
      },
      peerCredential,
      clock: systemClock,
      logger,
      metrics: this.#metrics,
      platform: new PlatformContracts(cfg.platform),
      views: new Views(),
      signal: this.#shutdown.signal,
    };
    const context = this.#context;
    this.#membership = new Membership(context);
    const { contact } = this.#membership;
    const shares = new ShareHolder(context.clock, this.#shutdown.signal);
    this.#dataPlane = new DataPlane(context, { contact, shares });
    const renewals = new RenewalMetrics(this.#metrics, cfg.region);
    this.#coordination = new Coordination(context, {
      membership: this.#membership,
      dispatchers: this.#dataPlane.dispatchers,
      limits: shares,
      renewals,
    });
    this.#reporter = new MetricsReporter({
      clock: context.clock,
      metrics: this.#metrics,
      region: cfg.region,
      storeContact: contact,
      coordinatorLease: this.#coordination.lease,
      views: context.views,
      holdQueue: this.#dataPlane.holdQueue,
      renewals,
    });
    const rpc = rpcServer({
      handlers: [
        ...contact.handlers(),
        this.#coordination.coordinator.renewal,
        this.#coordination.takeoverNotice.handler,
      ],
      credential: context.peerCredential,
      logger,
      signal: this.#shutdown.signal,
    });
    this.#admin = new AdminListener(context, this.#membership);
    this.#peerListener = new PeerListener({
      clock: context.clock,
      requests: cfg.requests,
      rpc: (req, res) => void rpc(req, res),
      hop: this.#dataPlane.hopServer,
      logger,
    });
  }

  /**
   * Serves until `stop` aborts, and then stops gracefully: requests in flight
   * are completed.
   *
   * @param stop - starts the graceful stop
   * @returns a promise that resolves when all tasks have ended and all
   * connections are closed; rejects if a listener cannot be opened
   */
  async run(stop: AbortSignal): Promise<void> {
    const { cfg, logger, platform } = this.#context;
    // The callers' port is opened last. Otherwise a router could accept callers
    // and then exit because one of its other ports is in use.
    await this.#admin.listen(cfg.listen.admin);
    await this.#peerListener.listen(cfg.listen.peers);
    await this.#dataPlane.callerListener.listen(cfg.listen.callers);
    logger.info({ listen: cfg.listen }, "router started");
    const tasks = Promise.all([
      this.#membership.run(),
      this.#coordination.run(),
      this.#reporter.run(this.#shutdown.signal),
    ]);
    await new Promise<void>((resolve) => {
      stop.addEventListener("abort", () => resolve(), { once: true });
      if (stop.aborted) resolve();
    });
    await this.#leave();
    this.#admin.close();
    this.#shutdown.abort();
    await tasks;
    await platform.close();
    await this.#metrics.close();
    logger.info({}, "router stopped");
  }

  async #leave(): Promise<void> {
    const { logger } = this.#context;
    logger.info({}, "graceful stop started");
    const leaving = AbortSignal.timeout(LEAVE_TIMEOUT_MS);
    const draining = AbortSignal.timeout(DRAIN_TIMEOUT_MS);
    // Requests in flight are completed while the dispatch terms are handed over
    // to other routers.
    await Promise.all([
      this.#dataPlane.callerListener.drain(draining),
      this.#coordination.leave(leaving),
    ]);
    await this.#membership.leave(leaving);
    await this.#peerListener.drain(draining);
  }
}
