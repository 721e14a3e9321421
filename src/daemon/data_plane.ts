import { Attempts } from "../entry/attempts.ts";
import { CallerListener } from "../entry/caller_listener.ts";
import { UpstreamChooser } from "../entry/choose_upstream.ts";
import { ExpiryWatch } from "../entry/expiry_watch.ts";
import { HoldQueue } from "../entry/hold_queue.ts";
import { OverloadGuard } from "../entry/overload_guard.ts";
import { Router } from "../entry/router.ts";
import { RetryBudget } from "../limits/retry_budget.ts";
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
    const router = this.#router(context, { ...parts, index });
    this.callers = new CallerListener({
      clock,
      requests: cfg.requests,
      router,
      isReady: () => parts.shares.leased && isReady(context, parts.contact),
      readinessDelayMs: cfg.timing.readinessDelayMs,
      logger,
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
    const { cfg, clock, self, signal, views } = context;
    const { members, assignments } = views;
    const { index } = parts;
    const budget = new RetryBudget(clock);
    const hops = new HopClients({
      clock,
      members,
      credential: context.peerCredential,
      signal,
    });
    return new Router({
      clock,
      watch: new ExpiryWatch(clock, signal),
      contact: parts.contact,
      load: new OverloadGuard(clock, signal),
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
        hold: new HoldQueue({ clock, assignments, limit: cfg.requests.held }),
        holdMs: cfg.requests.holdMs,
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
