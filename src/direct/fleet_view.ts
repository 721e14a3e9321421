import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { RangeTable } from "../ranges/range_table.ts";
import { originLogFields } from "../rows/origin_log_fields.ts";
import type { RowOrigin } from "../rows/row_origin.ts";
import type { StoreOutage } from "../rows/store_outage.ts";
import { IdleLimit } from "../upstreams/idle_limit.ts";
import { areConnectionsScarce } from "./are_connections_scarce.ts";
import { LeaveTimes } from "./leave_times.ts";
import { MissingUpstreams } from "./missing_upstreams.ts";
import { mostUrgentPriorities } from "./most_urgent_priorities.ts";
import type { RouteMatcher } from "./route_matcher.ts";
import type { RoutingConfig } from "./routing_config.ts";
import { RoutingSnapshot } from "./routing_snapshot.ts";
import type { ServicePolicy } from "./service_policy.ts";
import { Upstream } from "./upstream.ts";
import type { UpstreamEntry } from "./upstream_entry.ts";

type Options = {
  clock: Clock;
  logger: Logger;
  /** Region of each failure domain. */
  regionOf: ReadonlyMap<string, string>;
  /** Number of VMs that is assumed until the leader has counted them. */
  assumedVms: number;
  /** Time in which changes of upstreams must be in force, in milliseconds. */
  changeBoundMs: number;
  /**
   * Time after a disconnection of this VM after which the bound holds for it
   * again, in milliseconds.
   */
  contactMs: number;
};
/**
 * What is known of a removed upstream is kept for this time, since entries that
 * lapsed in an outage of the registry are written again soon after it.
 */
const REMOVED_RETENTION_MS = 60_000;
/** Upstreams run for at most some minutes after they have announced to leave. */
const LEAVE_RETENTION_MS = 600_000;
/**
 * A lower number of VMs takes effect once no equal or higher one has been
 * reported for this time.
 */
const VM_COUNT_DECREASE_DELAY_MS = 10_000;

/**
 * Tracks this VM's view of the deployment: the configuration, the registered
 * upstreams, the owners of keys, the evacuated failure domains and the number
 * of VMs.
 */
export class FleetView {
  /** Fires at each change. */
  readonly changed = new ChangeNotifier();
  readonly #opts: Options;
  readonly #upstreams = new Map<string, Upstream>();
  /** Recently removed upstreams by id, and when they were removed. */
  readonly #removed = new Map<string, { upstream: Upstream; at: number }>();
  readonly #idleLimit: IdleLimit;
  readonly #leaveTimes: LeaveTimes;
  readonly #missing: MissingUpstreams;
  /** Incarnations that have announced in an answer to leave, by id. */
  readonly #leaving = new Map<string, { incarnation: number; at: number }>();
  readonly #ranges = new Map<string, RangeTable>();
  /** Highest `nextFence` that has been read in any era, by service. */
  readonly #nextFences = new Map<string, number>();
  #config: RoutingConfig | undefined;
  #snapshot = new RoutingSnapshot({ routes: [], unusableRoutes: [] });
  #policies = new Map<string, ServicePolicy>();
  /** Priority number of the most urgent requests of each service. */
  #minPriorities = new Map<string, number>();
  /** Evacuated failure domains, with the time from which that counts. */
  #evacuated: ReadonlyMap<string, number> = new Map();
  #registryRead = false;
  #vms: number;
  /** When a number of VMs of at least `#vms` was last reported. */
  #vmsSeenAt: number;

  /**
   * @param opts - clock, log, regions of failure domains, assumed VM count, and
   * bounds of the deployment
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.#leaveTimes = new LeaveTimes(opts);
    this.#missing = new MissingUpstreams(opts.clock, this.#leaveTimes);
    this.#idleLimit = new IdleLimit((change) =>
      opts.logger.info(change, "idle limit of connections changed")
    );
    this.#vms = opts.assumedVms;
    this.#vmsSeenAt = opts.clock.now();
  }

  /**
   * @returns the newest configuration that has been read
   */
  get config(): RoutingConfig | undefined {
    return this.#config;
  }

  /**
   * @returns whether the configuration, the registry and the key owners of all
   * keyed services have been read at least once
   */
  get complete(): boolean {
    return this.#registryRead && this.#config !== undefined &&
      this.#config.services.every(({ name, keyed }) =>
        !keyed || this.#ranges.has(name)
      );
  }

  /**
   * @returns matcher for the routes of the newest configuration
   */
  get matcher(): RouteMatcher {
    return this.#snapshot.matcher;
  }

  /**
   * @returns routes and tenants of the newest configuration
   */
  get snapshot(): RoutingSnapshot {
    return this.#snapshot;
  }

  /**
   * @returns failure domains that receive no new work
   */
  get evacuated(): ReadonlySet<string> {
    return new Set(this.#evacuated.keys());
  }

  /**
   * @returns number of VMs of the system, as far as known
   */
  get vms(): number {
    return this.#vms;
  }

  /**
   * @returns all registered upstreams
   */
  get upstreams(): Iterable<Upstream> {
    return this.#upstreams.values();
  }

  /**
   * @param id - id of an upstream
   * @returns its registered incarnation, or undefined if it is not registered
   */
  upstream(id: string): Upstream | undefined {
    return this.#upstreams.get(id);
  }

  /**
   * @param service - name of a service
   * @returns its policy, or undefined if the configuration does not name it
   */
  policy(service: string): ServicePolicy | undefined {
    return this.#policies.get(service);
  }

  /**
   * @param service - name of a service
   * @returns the owners of its keys, or undefined if they have not been read
   */
  ranges(service: string): RangeTable | undefined {
    return this.#ranges.get(service);
  }

  /**
   * @param service - name of a service
   * @returns a fencing token above all that this VM has read of, also in earlier
   * eras of the store
   */
  nextFence(service: string): number {
    return this.#nextFences.get(service) ?? 1;
  }

  /**
   * @param domain - a failure domain
   * @returns its region, or the domain's own name if the region is not known
   */
  regionOf(domain: string): string {
    return this.#opts.regionOf.get(domain) ?? domain;
  }

  /**
   * @param upstream - a registered upstream
   * @returns whether it may receive requests: it may own keys, and its registry
   * entry is not missing
   */
  isUsable(upstream: Upstream): boolean {
    return this.mayOwnKeys(upstream) &&
      this.#missing.withheldSince(upstream.entry.id) === Infinity;
  }

  /**
   * @param owner - a registered upstream
   * @returns whether it may receive requests for keys that it owns. Until its
   * keys are reassigned, only an owner that leaves can serve them
   */
  mayServeOwnKeys(owner: Upstream): boolean {
    return this.isUsable(owner) ||
      this.leavingMs(owner) <= this.#leaveTimes.ownerUseMs;
  }

  /**
   * @param upstream - a registered upstream
   * @returns whether it may be assigned keys: it is ready, has not announced to
   * leave, and is not evacuated
   */
  mayOwnKeys(upstream: Upstream): boolean {
    const { state, failureDomain } = upstream.entry;
    return state === "ready" && !upstream.leaveAnnounced &&
      !this.#evacuated.has(failureDomain);
  }

  /**
   * @returns upstreams that have announced to leave, but whose registry entries
   * do not say so
   */
  get unregisteredLeaves(): { id: string; incarnation: number }[] {
    return [...this.#upstreams.values()]
      .filter(({ entry, leaveAnnounced }) =>
        leaveAnnounced && entry.state === "ready"
      )
      .map(({ entry: { id, incarnation } }) => ({ id, incarnation }));
  }

  /**
   * Records that an upstream has announced to leave, e.g. to another VM.
   *
   * @param id - id of the upstream
   * @param incarnation - the incarnation that leaves
   */
  onLeaveAnnounced(id: string, incarnation: number): void {
    const upstream = this.#upstreams.get(id);
    if (upstream?.entry.incarnation === incarnation) upstream.announceLeave();
  }

  /**
   * @param upstream - an upstream that was chosen for a request
   * @param keyed - whether it was chosen as the owner of the request's key
   * @returns whether the request may still be sent to it
   */
  mayStillSend(upstream: Upstream, keyed: boolean): boolean {
    if (this.#upstreams.get(upstream.entry.id) !== upstream) return false;
    return keyed ? this.mayServeOwnKeys(upstream) : this.isUsable(upstream);
  }

  /**
   * @param upstream - an upstream that is registered or was removed
   * @returns milliseconds since it became known to be draining, evacuated or
   * removed, or is withheld because its registry entry is missing, longer if
   * that may have been stored long before; 0 if it is none of these
   */
  leavingMs(upstream: Upstream): number {
    const { id } = upstream.entry;
    const removed = this.#removed.get(id);
    const since = Math.min(
      removed?.upstream === upstream ? removed.at : Infinity,
      upstream.drainingSince ?? Infinity,
      this.#missing.withheldSince(id),
      this.#evacuated.get(upstream.entry.failureDomain) ?? Infinity,
    );
    return Math.max(0, this.#opts.clock.now() - since);
  }

  /**
   * @param service - name of a service
   * @param priority - priority number of a request to it
   * @returns whether other requests to the service are more urgent
   */
  isLessUrgent(service: string, priority: number): boolean {
    return priority > (this.#minPriorities.get(service) ?? priority);
  }

  /**
   * Sets the number of VMs. A lower number takes effect only after
   * `VM_COUNT_DECREASE_DELAY_MS`.
   *
   * @param count - VMs of the system that are running
   */
  setVms(count: number): void {
    const now = this.#opts.clock.now();
    if (count >= this.#vms) this.#vmsSeenAt = now;
    // A new leader has not yet received the reports of all VMs.
    else if (now - this.#vmsSeenAt < VM_COUNT_DECREASE_DELAY_MS) return;
    if (count === this.#vms) return;
    this.#opts.logger.info({ before: this.#vms, count }, "VM count changed");
    this.#vms = count;
  }

  /**
   * @param config - a configuration; ignored unless newer than the present one
   * @param origin - how it was read; for the log
   */
  setConfig(config: RoutingConfig, origin?: RowOrigin): void {
    const before = this.#config?.version;
    if (before !== undefined && config.version <= before) return;
    this.#config = config;
    this.#snapshot = new RoutingSnapshot(config);
    this.#policies = new Map(
      config.services.map((policy) => [policy.name, policy]),
    );
    this.#minPriorities = mostUrgentPriorities(config);
    this.#opts.logger.info({
      before,
      version: config.version,
      routes: config.routes.length,
      tenants: config.tenants?.length,
      ...originLogFields(origin),
    }, "configuration applied");
    this.changed.notify();
  }

  /**
   * @param domains - all failure domains that receive no new work
   * @param origin - how they were read
   */
  setEvacuated(domains: ReadonlySet<string>, origin?: RowOrigin): void {
    const before = this.#evacuated;
    const now = this.#opts.clock.now();
    const since = this.#leaveCountsFrom(origin);
    this.#evacuated = new Map(
      [...domains].map((domain) => [domain, before.get(domain) ?? since]),
    );
    const returned = [...before.keys()].filter((domain) =>
      !domains.has(domain)
    );
    for (const upstream of this.#upstreams.values()) {
      const { failureDomain, service } = upstream.entry;
      if (!returned.includes(failureDomain)) continue;
      // Evacuated upstreams may have become cold without reporting it.
      upstream.warmUp.assumeColdUntil(
        now + (this.policy(service)?.warmUpMs ?? 0),
        now,
      );
    }
    this.#opts.logger.info(
      { before: [...before.keys()], evacuated: [...domains] },
      "evacuated failure domains changed",
    );
    this.changed.notify();
  }

  /**
   * @param service - name of a service
   * @param table - owners of its keys; ignored unless newer than the present
   * one. A later era of the store is newer than each version of an earlier one
   */
  setRanges(service: string, table: RangeTable): void {
    const { nextFence } = table.document;
    this.#nextFences.set(
      service,
      Math.max(this.#nextFences.get(service) ?? 0, nextFence),
    );
    const before = this.#ranges.get(service);
    if (before !== undefined && !isNewer(table, before)) return;
    this.#ranges.set(service, table);
    this.#opts.logger.info(
      {
        service,
        era: table.era,
        version: table.version,
        ranges: table.document.ranges.length,
      },
      "key owners changed",
    );
    this.changed.notify();
  }

  /**
   * Records that the registry is reachable again; entries that lapsed in the
   * outage may be missing for some time.
   *
   * @param outage - the outage; it may be reported several times
   */
  onRegistryReconnected(outage: StoreOutage): void {
    this.#missing.onReconnected(outage);
  }

  /**
   * @param entry - new or changed registry entry
   * @param origin - how it was read
   */
  setUpstream(entry: UpstreamEntry, origin?: RowOrigin): void {
    const { clock, logger } = this.#opts;
    const drainingSince = this.#leaveCountsFrom(origin);
    const { id, incarnation, service, state, failureDomain } = entry;
    const last = this.#upstreams.get(id) ?? this.#removed.get(id)?.upstream;
    if (last?.hasNewerThan(entry, clock.now()) === true) {
      logger.info(
        {
          upstream: id,
          service,
          state,
          inUse: this.#upstreams.has(id) ? last.entry.state : undefined,
          ...originLogFields(origin),
        },
        "older registry entry ignored",
      );
      return;
    }
    const known = this.#upstreams.get(id) ?? this.#restore(entry);
    if (this.#missing.delete(id)) {
      this.#missing.updateWithheld(this.#upstreams);
    }
    const same = known?.entry.incarnation === incarnation &&
      known.entry.address === entry.address;
    if (same) {
      if (known.entry.state !== state) {
        logger.info(
          {
            upstream: id,
            service,
            before: known.entry.state,
            state,
            ...originLogFields(origin),
          },
          "upstream state changed",
        );
      }
      known.update(entry, { now: clock.now(), drainingSince });
    } else {
      known?.closeWhenReleased();
      const upstream = new Upstream(entry, clock, {
        ...this.#sharedOptions(entry),
        drainingSince,
      });
      this.#upstreams.set(id, upstream);
      const leave = this.#leaving.get(id);
      if (leave?.incarnation === incarnation) upstream.announceLeave(leave.at);
      logger.info(
        {
          upstream: id,
          incarnation,
          service,
          state,
          failureDomain,
          ...originLogFields(origin),
        },
        "upstream registered",
      );
    }
    this.changed.notify();
  }

  /**
   * Removes upstreams, or keeps them until `removeMissing` if their entries may
   * have lapsed in an outage.
   *
   * @param ids - upstreams whose registry entries one answer of the registry
   * reported as removed
   * @param origin - how that was read; entries that a restored registry lacks
   * are kept whatever their number
   */
  removeUpstreams(ids: readonly string[], origin?: RowOrigin): void {
    const known = ids.filter((id) => this.#upstreams.has(id));
    const { size } = this.#upstreams;
    if (this.#missing.mayHaveLapsed(known.length, size, origin)) {
      this.#opts.logger.warn(
        { missing: known },
        "registry entries may have lapsed; keeping their upstreams for the recovery period",
      );
      this.#missing.add(known, origin);
    } else for (const id of known) this.#remove(id, origin);
    this.#missing.updateWithheld(this.#upstreams);
  }

  /**
   * Removes upstreams whose registry entries were not written again by the end
   * of the registry's recovery.
   */
  removeMissing(): void {
    const { ids, recovering } = this.#missing;
    if (ids.length === 0 || recovering) return;
    for (const id of ids) this.#remove(id);
    this.#missing.updateWithheld(this.#upstreams);
  }

  /**
   * @param entries - all entries of the registry
   * @param origin - how they were read
   */
  setRegistry(entries: readonly UpstreamEntry[], origin?: RowOrigin): void {
    // A restored row of an earlier incarnation counts as missing.
    const current = origin?.restored === true
      ? entries.filter(({ id, incarnation }) =>
        incarnation >= (this.#upstreams.get(id)?.entry.incarnation ?? 0)
      )
      : entries;
    const present = new Set(current.map((entry) => entry.id));
    for (const entry of current) this.setUpstream(entry, origin);
    this.removeUpstreams(
      [...this.#upstreams.keys()].filter((id) => !present.has(id)),
      origin,
    );
    this.#registryRead = true;
    this.changed.notify();
  }

  /**
   * Returns from when an upstream counts as leaving if rows that have just been
   * read say so.
   */
  #leaveCountsFrom(origin: RowOrigin | undefined): number {
    return this.#leaveTimes.countsFrom(
      this.#opts.clock.now(),
      origin?.latenessMs ?? 0,
    );
  }

  #recordLeave({ id, incarnation, service }: UpstreamEntry): void {
    const { clock, logger } = this.#opts;
    const now = clock.now();
    for (const [other, { at }] of this.#leaving) {
      if (now - at > LEAVE_RETENTION_MS && !this.#upstreams.has(other)) {
        this.#leaving.delete(other);
      }
    }
    if (this.#leaving.get(id)?.incarnation === incarnation) return;
    this.#leaving.set(id, { incarnation, at: now });
    logger.info(
      { upstream: id, incarnation, service },
      "upstream announced that it is leaving",
    );
    this.changed.notify();
  }

  #sharedOptions(
    entry: UpstreamEntry,
  ): Omit<ConstructorParameters<typeof Upstream>[2], "drainingSince"> {
    const { service } = entry;
    return {
      idleLimit: this.#idleLimit,
      onLeaveAnnounced: () => this.#recordLeave(entry),
      mayReject: () => {
        const policy = this.policy(service);
        return policy !== undefined &&
          (policy.keyed || areConnectionsScarce(policy, this.vms));
      },
    };
  }

  /**
   * Restores a removed upstream with its pause, requests in flight and
   * estimates. Returns undefined unless the entry is of the same incarnation.
   */
  #restore({ id, incarnation, address }: UpstreamEntry): Upstream | undefined {
    const upstream = this.#removed.get(id)?.upstream;
    if (
      upstream?.entry.incarnation !== incarnation ||
      upstream.entry.address !== address
    ) return undefined;
    this.#removed.delete(id);
    upstream.reopen();
    this.#upstreams.set(id, upstream);
    this.#opts.logger.info(
      { upstream: id, incarnation },
      "upstream registered again",
    );
    return upstream;
  }

  #remove(id: string, origin?: RowOrigin): void {
    this.#missing.delete(id);
    const known = this.#upstreams.get(id);
    if (known === undefined) return;
    const now = this.#opts.clock.now();
    for (const [other, { at }] of this.#removed) {
      if (now - at > REMOVED_RETENTION_MS) this.#removed.delete(other);
    }
    this.#upstreams.delete(id);
    this.#removed.set(id, { upstream: known, at: now });
    known.closeWhenReleased();
    this.#opts.logger.info(
      {
        upstream: id,
        service: known.entry.service,
        ...originLogFields(origin),
      },
      "upstream removed",
    );
    this.changed.notify();
  }
}

function isNewer(table: RangeTable, before: RangeTable): boolean {
  return table.era === before.era
    ? table.version > before.version
    : table.era > before.era;
}
