import { Attempts } from "../entry/attempts.ts";
import { CallerListener } from "../entry/caller_listener.ts";
import { UpstreamChooser } from "../entry/upstream_chooser.ts";
import { ExpiryTimer } from "../entry/expiry_timer.ts";
import type { HoldQueue } from "../entry/hold_queue.ts";
import { MeasuredHoldQueue } from "../entry/measured_hold_queue.ts";
import { MeasuredRouter } from "../entry/measured_router.ts";
import { OverloadGuard } from "../entry/overload_guard.ts";
import { Router } from "../entry/router.ts";
import { MeasuredRetryBudget } from "../limits/measured_retry_budget.ts";
import type { ShareHolder } from "../limits/share_holder.ts";
import { HopClients } from "../links/hop_clients.ts";
import { HopServer } from "../links/hop_server.ts";
import { DispatcherPool } from "../upstreams/dispatcher_pool.ts";
import type { StoreContactView } from "../vms/store_contact_view.ts";
import { CatalogueIndex } from "./catalogue_index.ts";
import type { DaemonContext } from "./daemon_context.ts";

/**
 * The request path of this router: the listener for callers, the dispatchers,
 * and the hop server for requests that other routers forward to them.
 */
export class DataPlane {
  readonly dispatchers: DispatcherPool;
  readonly callerListener: CallerListener;
  readonly hopServer: HopServer;
  /** Requests that wait for a new assignment before the next attempt. */
  readonly holdQueue: HoldQueue;

  /**
   * @param context - settings, views and clients that the process shares
   * @param deps - store contact, and the holder of this router's limit shares
   */
  constructor(
    context: DaemonContext,
    deps: { contact: StoreContactView; shares: ShareHolder },
  ) {
    const { cfg, clock, logger, metrics, platform, self, signal, views } =
      context;
    const index = new CatalogueIndex(views.catalogue);
    this.dispatchers = new DispatcherPool({
      vm: self.vm,
      region: self.region,
      clock,
      logger,
      metrics,
      catalogue: views.catalogue,
      assignments: views.assignments,
      reports: platform.reports,
      grants: platform.grants,
      timing: cfg.timing,
      signal,
    });
    this.hopServer = new HopServer({
      clock,
      region: self.region,
      findEntry: (name) => index.findEntry(name),
      local: this.dispatchers,
      credential: context.peerCredential,
      signal,
    });
    this.holdQueue = new MeasuredHoldQueue({
      clock,
      assignments: views.assignments,
      maxHeld: cfg.requests.held,
      metrics,
      region: self.region,
    });
    const router = this.#createRouter(context, { ...deps, index });
    this.callerListener = new CallerListener({
      clock,
      requests: cfg.requests,
      router: new MeasuredRouter({
        router,
        clock,
        metrics,
        region: self.region,
      }),
      isReady: () => deps.shares.leased && isReady(context, deps.contact),
      readinessDelayMs: cfg.timing.readinessDelayMs,
      logger,
      onUnparsableRequest: (code) => {
        if (code === undefined) return;
        metrics.increment(`refused.${code}`, 1, { region: self.region });
      },
    });
  }

  #createRouter(
    context: DaemonContext,
    deps: {
      contact: StoreContactView;
      shares: ShareHolder;
      index: CatalogueIndex;
    },
  ): Router {
    const { cfg, clock, metrics, self, signal, views } = context;
    const { members, assignments } = views;
    const { index } = deps;
    const budget = new MeasuredRetryBudget({
      clock,
      metrics,
      region: self.region,
    });
    const hops = new HopClients({
      clock,
      members,
      credential: context.peerCredential,
      signal,
    });
    return new Router({
      clock,
      timer: new ExpiryTimer(clock, signal),
      contact: deps.contact,
      load: new OverloadGuard({
        clock,
        logger: context.logger,
        maxTimerDelayMs: cfg.requests.maxTimerDelayMs,
      }, signal),
      catalogue: {
        region: self.region,
        match: (host, path) => index.match(host, path),
        extractKey: (source, req) => index.extractKey(source, req),
        findService: (name) => index.findService(name),
      },
      shares: deps.shares,
      budget,
      attempts: new Attempts({
        clock,
        vm: self.vm,
        assignments,
        chooser: new UpstreamChooser({
          clock,
          region: self.region,
          assignments,
          members,
          random: Math.random,
        }),
        local: this.dispatchers,
        remote: (vm) => hops.get(vm),
        budget,
        holdQueue: this.holdQueue,
        maxHoldMs: cfg.requests.holdMs,
      }),
      requests: cfg.requests,
    });
  }
}

function isReady(context: DaemonContext, contact: StoreContactView): boolean {
  const { self, views } = context;
  const out = views.catalogue.current?.document.out;
  if (out === undefined) return false;
  if (out.vms.includes(self.vm)) return false;
  if (out.failureDomains.includes(self.failureDomain)) return false;
  const mode = contact.mode();
  return mode === "current" || mode === "outage";
}
