import type { LimitHost } from "../limits/limit_host.ts";
import { Coordinator } from "../regions/coordinator.ts";
import { CoordinatorLease } from "../regions/coordinator_lease.ts";
import { RenewalTask } from "../regions/renewal_task.ts";
import { TakeoverNotice } from "../regions/takeover_notice.ts";
import type { DispatchHost } from "../upstreams/dispatch_host.ts";
import type { DaemonContext } from "./daemon_context.ts";
import type { Membership } from "./membership.ts";
import type { RenewalMetrics } from "./renewal_metrics.ts";

/** The coordinator lease, the coordinator's work, and the dispatch lease. */
export class Coordination {
  readonly lease: CoordinatorLease;
  readonly coordinator: Coordinator;
  readonly notice: TakeoverNotice;
  readonly #renewal: RenewalTask;
  readonly #signal: AbortSignal;
  readonly #leaving = new AbortController();
  #renewing: Promise<void> = Promise.resolve();

  /**
   * @param context - shared parts of the process
   * @param parts - membership, the hosts that the dispatch lease feeds, and
   * what measures renewals
   */
  constructor(
    context: DaemonContext,
    parts: {
      membership: Membership;
      dispatchers: DispatchHost;
      limits: LimitHost;
      renewals: RenewalMetrics;
    },
  ) {
    const { cfg, clock, logger, platform, self, views } = context;
    const { membership, dispatchers, limits, renewals } = parts;
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
    this.notice = new TakeoverNotice({
      ...self,
      lease: this.lease,
      members: views.members,
      peers: membership.peers,
      pollNow: () => membership.poller.pollNow(),
    });
    this.#renewal = new RenewalTask({
      ...self,
      clock,
      logger,
      contact,
      coordinators: views.coordinators,
      peers: renewals.peers(membership.peers),
      dispatchers: renewals.dispatchers(dispatchers),
      limits: renewals.limits(limits),
      assignments: views.assignments,
      renewHoldMs: cfg.timing.renewHoldMs,
    });
  }

  /** Runs all tasks until the process ends. */
  async run(): Promise<void> {
    this.#renewing = this.#renewal.run({
      leaving: this.#leaving.signal,
      signal: this.#signal,
    });
    await Promise.all([
      this.lease.run(this.#signal),
      this.coordinator.run(this.#signal),
      this.notice.run(this.#signal),
      this.#renewing,
    ]);
  }

  /**
   * Hands over all dispatch terms, then the coordinator lease.
   *
   * @param signal - gives up; leases then expire by themselves
   */
  async leave(signal: AbortSignal): Promise<void> {
    this.#leaving.abort();
    const gaveUp = new Promise<void>((resolve) => {
      signal.addEventListener("abort", () => resolve(), { once: true });
    });
    await Promise.race([this.#renewing, gaveUp]);
    await this.lease.release(signal);
  }
}
