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

/** Longest time for handing over leases and saying goodbye. */
const LEAVE_TIMEOUT_MS = 10_000;
/** Longest time for requests that are in flight at the stop. */
const DRAIN_TIMEOUT_MS = 60_000;

/** One router process. */
export class Daemon {
  readonly #context: DaemonContext;
  readonly #metrics: StatsdMetrics;
  readonly #end = new AbortController();
  readonly #membership: Membership;
  readonly #coordination: Coordination;
  readonly #dataPlane: DataPlane;
  readonly #peerListener: PeerListener;
  readonly #admin: AdminListener;
  readonly #reporter: MetricsReporter;

  /**
   * @param cfg - checked settings
   * @param peerCredential - credential that routers show to each other
   * @param logger - log of the process
   */
  constructor(cfg: Settings, peerCredential: string, logger: Logger) {
    // Every task and request of the process listens to this signal, so that
    // Node's warning about more than ten listeners does not apply.
    setMaxListeners(0, this.#end.signal);
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
      signal: this.#end.signal,
    };
    const context = this.#context;
    this.#membership = new Membership(context);
    const { contact } = this.#membership;
    const shares = new ShareHolder(context.clock, this.#end.signal);
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
      contact,
      lease: this.#coordination.lease,
      views: context.views,
      hold: this.#dataPlane.hold,
      renewals,
    });
    const rpc = rpcServer({
      handlers: [
        ...contact.handlers(),
        this.#coordination.coordinator.renewal,
        this.#coordination.notice.handler,
      ],
      credential: context.peerCredential,
      logger,
      signal: this.#end.signal,
    });
    this.#admin = new AdminListener(context, this.#membership);
    this.#peerListener = new PeerListener({
      clock: context.clock,
      requests: cfg.requests,
      rpc: (req, res) => void rpc(req, res),
      hop: this.#dataPlane.hop,
      logger,
    });
  }

  /**
   * Serves until `stop` aborts, and then stops without cutting a request.
   *
   * @param stop - begins the graceful stop
   * @returns a promise that resolves when everything has ended; rejects when a
   * listener cannot be opened
   */
  async run(stop: AbortSignal): Promise<void> {
    const { cfg, logger, platform } = this.#context;
    // Callers come last, so that none is accepted by a router that then ends
    // because another port is taken.
    await this.#admin.listen(cfg.listen.admin);
    await this.#peerListener.listen(cfg.listen.peers);
    await this.#dataPlane.callers.listen(cfg.listen.callers);
    logger.info({ listen: cfg.listen }, "router started");
    const tasks = Promise.all([
      this.#membership.run(),
      this.#coordination.run(),
      this.#reporter.run(this.#end.signal),
    ]);
    await new Promise<void>((resolve) => {
      stop.addEventListener("abort", () => resolve(), { once: true });
      if (stop.aborted) resolve();
    });
    await this.#leave();
    this.#admin.close();
    this.#end.abort();
    await tasks;
    await platform.close();
    await this.#metrics.close();
    logger.info({}, "router stopped");
  }

  async #leave(): Promise<void> {
    const { logger } = this.#context;
    logger.info({}, "graceful stop begins");
    const leaving = AbortSignal.timeout(LEAVE_TIMEOUT_MS);
    const draining = AbortSignal.timeout(DRAIN_TIMEOUT_MS);
    // Callers are served to the end while the dispatch terms move to other
    // routers.
    await Promise.all([
      this.#dataPlane.callers.drain(draining),
      this.#coordination.leave(leaving),
    ]);
    await this.#membership.leave(leaving);
    await this.#peerListener.drain(draining);
  }
}
