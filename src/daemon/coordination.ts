import type { LimitHost } from "../limits/limit_host.ts";
import { Coordinator } from "../regions/coordinator.ts";
import { CoordinatorLease } from "../regions/coordinator_lease.ts";
import { RenewalTask } from "../regions/renewal_task.ts";
import { TakeoverNotice } from "../regions/takeover_notice.ts";
import type { DispatchHost } from "../upstreams/dispatch_host.ts";
import type { DaemonContext } from "./daemon_context.ts";
import type { Membership } from "./membership.ts";
import type { RenewalMetrics } from "./renewal_metrics.ts";

/**
 * Runs the tasks of this router that concern its region's coordinator: competes
 * for the coordinator lease, coordinates while it holds the lease, and renews
 * the dispatch lease of this router.
 */
export class Coordination {
  readonly lease: CoordinatorLease;
  readonly coordinator: Coordinator;
  readonly takeoverNotice: TakeoverNotice;
  readonly #renewalTask: RenewalTask;
  readonly #signal: AbortSignal;
  readonly #leaving = new AbortController();
  #renewalEnded: Promise<void> = Promise.resolve();

  /**
   * @param context - settings, views and clients that the process shares
   * @param deps - membership, the dispatchers and limit shares that each
   * renewal updates, and the metrics of renewals
   */
  constructor(
    context: DaemonContext,
    deps: {
      membership: Membership;
      dispatchers: DispatchHost;
      limits: LimitHost;
      renewals: RenewalMetrics;
    },
  ) {
    const { cfg, clock, logger, platform, self, views } = context;
    const { membership, dispatchers, limits, renewals } = deps;
    const { contact, vmList } = membership;
    this.#signal = context.signal;
    this.lease = new CoordinatorLease({
      table: platform.table,
      clock,
      logger,
      self,
      ttlMs: cfg.timing.coordinatorTtlMs,
      renewMs: cfg.timing.coordinatorRenewMs,
      contact,
      poller: membership.poller,
      registration: membership.registration,
      members: views.members,
      coordinators: views.coordinators,
      vmList,
    });
    this.coordinator = new Coordinator({
      region: self.region,
      clock,
      logger,
      lease: this.lease,
      contact,
      table: platform.table,
      catalogue: views.catalogue,
      listedVms: vmList,
      assignments: views.assignments,
      renewHoldMs: cfg.timing.renewHoldMs,
      dispatchTtlMs: cfg.timing.dispatchTtlMs,
    });
    this.takeoverNotice = new TakeoverNotice({
      ...self,
      lease: this.lease,
      members: views.members,
      peers: membership.peers,
      pollNow: () => membership.poller.pollNow(),
    });
    this.#renewalTask = new RenewalTask({
      ...self,
      clock,
      logger,
      contact,
      coordinators: views.coordinators,
      peers: renewals.measurePeers(membership.peers),
      dispatchers: renewals.measureDispatchers(dispatchers),
      limits: renewals.measureLimits(limits),
      assignments: views.assignments,
      renewHoldMs: cfg.timing.renewHoldMs,
    });
  }

  /** Runs all tasks until the signal of the process aborts. */
  async run(): Promise<void> {
    this.#renewalEnded = this.#renewalTask.run({
      leaving: this.#leaving.signal,
      signal: this.#signal,
    });
    await Promise.all([
      this.lease.run(this.#signal),
      this.coordinator.run(this.#signal),
      this.takeoverNotice.run(this.#signal),
      this.#renewalEnded,
    ]);
  }

  /**
   * Hands over all dispatch terms, then releases the coordinator lease.
   *
   * @param signal - ends the attempts; leases that are still held then expire
   */
  async leave(signal: AbortSignal): Promise<void> {
    this.#leaving.abort();
    const aborted = new Promise<void>((resolve) => {
      signal.addEventListener("abort", () => resolve(), { once: true });
    });
    await Promise.race([this.#renewalEnded, aborted]);
    await this.lease.release(signal);
  }
}
