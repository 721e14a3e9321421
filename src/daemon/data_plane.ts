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

/** What requests pass through on this router. */
export class DataPlane {
  readonly dispatchers: DispatcherPool;
  readonly callers: CallerListener;
  readonly hop: HopServer;
  /** Requests that wait for a new assignment. */
  readonly hold: HoldQueue;

  /**
   * @param context - shared parts of the process
   * @param parts - contact with the store, and the holder of limit shares
   */
  constructor(
    context: DaemonContext,
    parts: { contact: StoreContactView; shares: ShareHolder },
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
    this.hop = new HopServer({
      clock,
      region: self.region,
      findEntry: (name) => index.findEntry(name),
      local: this.dispatchers,
      credential: context.peerCredential,
      signal,
    });
    this.hold = new MeasuredHoldQueue({
      clock,
      assignments: views.assignments,
      maxHeld: cfg.requests.held,
      metrics,
      region: self.region,
    });
    const router = this.#router(context, { ...parts, index });
    this.callers = new CallerListener({
      clock,
      requests: cfg.requests,
      router: new MeasuredRouter({
        router,
        clock,
        metrics,
        region: self.region,
      }),
      isReady: () => parts.shares.leased && isReady(context, parts.contact),
      readinessDelayMs: cfg.timing.readinessDelayMs,
      logger,
      onUnparsableRequest: (code) => {
        if (code === undefined) return;
        metrics.increment(`refused.${code}`, 1, { region: self.region });
      },
    });
  }

  #router(
    context: DaemonContext,
    parts: {
      contact: StoreContactView;
      shares: ShareHolder;
      index: CatalogueIndex;
    },
  ): Router {
    const { cfg, clock, metrics, self, signal, views } = context;
    const { members, assignments } = views;
    const { index } = parts;
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
      contact: parts.contact,
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
      shares: parts.shares,
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
        holdQueue: this.hold,
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
