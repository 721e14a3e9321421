import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { RangeTable } from "../ranges/range_table.ts";
import { IdleLimit } from "../upstreams/idle_limit.ts";
import { areConnectionsScarce } from "./are_connections_scarce.ts";
import { RouteMatcher } from "./route_matcher.ts";
import type { RoutingConfig } from "./routing_config.ts";
import type { ServicePolicy } from "./service_policy.ts";
import { Upstream } from "./upstream.ts";
import type { UpstreamEntry } from "./upstream_entry.ts";

type Options = {
  clock: Clock;
  logger: Logger;
  /** Region of each failure domain. */
  regionOf: ReadonlyMap<string, string>;
  /** VMs that are assumed until the number is known. */
  assumedVms: number;
};

/**
 * Registry entries that lapsed while the registry could not be reached are
 * back within two seconds of its return.
 */
const REGISTRY_RETURN_MS = 2200;
/**
 * In an outage of the registry itself, entries lapse together. A smaller part
 * that is missing has left while only this VM was cut off.
 */
const LAPSED_PART = 0.25;
const VMS_MEMORY_MS = 10_000;

/** This VM's view of the deployment. */
export class FleetView {
  /** Fires at each change. */
  readonly changed = new ChangeNotifier();
  readonly #opts: Options;
  readonly #upstreams = new Map<string, Upstream>();
  readonly #idleLimit: IdleLimit;
  readonly #missingSince = new Map<string, number>();
  readonly #ranges = new Map<string, RangeTable>();
  #config: RoutingConfig | undefined;
  #matcher = new RouteMatcher([]);
  #policies = new Map<string, ServicePolicy>();
  /** Least priority number of the routes of each service. */
  #urgency = new Map<string, number>();
  /** Since when each failure domain gets no new work. */
  #evacuated: ReadonlyMap<string, number> = new Map();
  #registryRead = false;
  #registryReconnectedAt = Number.NEGATIVE_INFINITY;
  #vms: number;
  /** When at least this number of VMs was seen last. */
  #vmsAt: number;

  /**
   * @param opts - clock, log, and the regions of failure domains
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.#idleLimit = new IdleLimit((change) =>
      opts.logger.info(change, "idle limit of connections changed")
    );
    this.#vms = opts.assumedVms;
    this.#vmsAt = opts.clock.now();
  }

  /**
   * @returns the newest configuration that was seen
   */
  get config(): RoutingConfig | undefined {
    return this.#config;
  }

  /**
   * @returns whether everything that requests need has been read once
   */
  get complete(): boolean {
    return this.#registryRead && this.#config !== undefined &&
      this.#config.services.every(({ name, keyed }) =>
        !keyed || this.#ranges.has(name)
      );
  }

  /**
   * @returns finds the routes of the newest configuration
   */
  get matcher(): RouteMatcher {
    return this.#matcher;
  }

  /**
   * @returns failure domains that get no new work
   */
  get evacuated(): ReadonlySet<string> {
    return new Set(this.#evacuated.keys());
  }

  /**
   * @returns known number of VMs of the system
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
   * @returns its present incarnation, or undefined if it is not registered
   */
  upstream(id: string): Upstream | undefined {
    return this.#upstreams.get(id);
  }

  /**
   * @param service - name of a service
   * @returns its policy, or undefined if no configuration names it
   */
  policy(service: string): ServicePolicy | undefined {
    return this.#policies.get(service);
  }

  /**
   * @param service - name of a service
   * @returns the owners of its keys, or undefined if they are not known
   */
  ranges(service: string): RangeTable | undefined {
    return this.#ranges.get(service);
  }

  /**
   * @param domain - a failure domain
   * @returns its region; the domain's own name if it is not known
   */
  regionOf(domain: string): string {
    return this.#opts.regionOf.get(domain) ?? domain;
  }

  /**
   * @param upstream - a registered upstream
   * @returns whether it may be sent new work
   */
  isUsable(upstream: Upstream): boolean {
    const { state, failureDomain } = upstream.entry;
    return state === "ready" && !this.#evacuated.has(failureDomain);
  }

  /**
   * @param upstream - a registered upstream
   * @returns milliseconds for which it has been known to be leaving
   */
  leavingMs(upstream: Upstream): number {
    const since = Math.min(
      upstream.drainingSince ?? Infinity,
      this.#evacuated.get(upstream.entry.failureDomain) ?? Infinity,
    );
    return Math.max(0, this.#opts.clock.now() - since);
  }

  /**
   * @param service - name of a service
   * @param priority - priority number of one of its routes
   * @returns whether the service has requests that are more urgent
   */
  isLessUrgent(service: string, priority: number): boolean {
    return priority > (this.#urgency.get(service) ?? priority);
  }

  /** @param count - VMs of the system that are running */
  setVms(count: number): void {
    const now = this.#opts.clock.now();
    if (count >= this.#vms) this.#vmsAt = now;
    // A leader that has just begun has not heard of all VMs yet.
    else if (now - this.#vmsAt < VMS_MEMORY_MS) return;
    if (count === this.#vms) return;
    this.#opts.logger.info({ before: this.#vms, count }, "VM count changed");
    this.#vms = count;
  }

  /**
   * @param config - a configuration; an older one than the present is ignored
   */
  setConfig(config: RoutingConfig): void {
    const before = this.#config?.version;
    if (before !== undefined && config.version <= before) return;
    this.#config = config;
    this.#matcher = new RouteMatcher(config.routes);
    this.#policies = new Map(config.services.map((one) => [one.name, one]));
    this.#urgency = leastPriorities(config);
    this.#opts.logger.info(
      { before, version: config.version, routes: config.routes.length },
      "configuration in force",
    );
    this.changed.notify();
  }

  /** @param domains - all failure domains that get no new work */
  setEvacuated(domains: ReadonlySet<string>): void {
    const before = this.#evacuated;
    const now = this.#opts.clock.now();
    this.#evacuated = new Map(
      [...domains].map((domain) => [domain, before.get(domain) ?? now]),
    );
    const returned = [...before.keys()].filter((one) => !domains.has(one));
    for (const upstream of this.#upstreams.values()) {
      const { failureDomain, service } = upstream.entry;
      if (!returned.includes(failureDomain)) continue;
      // Evacuated upstreams may have become cold without saying so.
      upstream.warmUp.setColdUntil(
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
   * @param table - owners of its keys; an older table is ignored
   */
  setRanges(service: string, table: RangeTable): void {
    const before = this.#ranges.get(service);
    if (before !== undefined && table.version <= before.version) return;
    this.#ranges.set(service, table);
    this.#opts.logger.info(
      { service, version: table.version, ranges: table.document.ranges.length },
      "key owners changed",
    );
    this.changed.notify();
  }

  /**
   * Registry entries may be missing for a while after this.
   */
  onRegistryReconnected(): void {
    this.#registryReconnectedAt = this.#opts.clock.now();
  }

  /** @param entry - new or changed registry entry */
  setUpstream(entry: UpstreamEntry): void {
    const { clock, logger } = this.#opts;
    const { id, incarnation, service, state, failureDomain } = entry;
    const known = this.#upstreams.get(id);
    this.#missingSince.delete(id);
    const same = known?.entry.incarnation === incarnation &&
      known.entry.address === entry.address;
    if (same) {
      if (known.entry.state !== state) {
        logger.info(
          { upstream: id, service, before: known.entry.state, state },
          "upstream changed its state",
        );
      }
      known.update(entry, clock.now());
    } else {
      known?.retire();
      this.#upstreams.set(
        id,
        new Upstream(entry, clock, this.#shared(service)),
      );
      logger.info(
        { upstream: id, incarnation, service, state, failureDomain },
        "upstream registered",
      );
    }
    this.changed.notify();
  }

  /**
   * @param ids - upstreams whose registry entries are gone, as one answer of
   * the registry told
   */
  removeUpstreams(ids: readonly string[]): void {
    const { clock, logger } = this.#opts;
    const now = clock.now();
    const known = ids.filter((id) => this.#upstreams.has(id));
    const lapsed = now < this.#registryReconnectedAt + REGISTRY_RETURN_MS &&
      known.length > this.#upstreams.size * LAPSED_PART;
    if (lapsed) {
      logger.warn({ missing: known }, "registry entries may have lapsed");
    }
    for (const id of known) {
      if (lapsed) this.#missingSince.set(id, now);
      else this.#forget(id);
    }
  }

  /** Drops upstreams whose entries did not return in time. */
  dropMissing(): void {
    const graceEnds = this.#registryReconnectedAt + REGISTRY_RETURN_MS;
    if (this.#missingSince.size === 0) return;
    if (this.#opts.clock.now() < graceEnds) return;
    for (const id of [...this.#missingSince.keys()]) this.#forget(id);
  }

  /** @param entries - the whole registry */
  setRegistry(entries: readonly UpstreamEntry[]): void {
    const present = new Set(entries.map((entry) => entry.id));
    for (const entry of entries) this.setUpstream(entry);
    this.removeUpstreams(
      [...this.#upstreams.keys()].filter((id) => !present.has(id)),
    );
    this.#registryRead = true;
    this.changed.notify();
  }

  #shared(service: string): ConstructorParameters<typeof Upstream>[2] {
    return {
      idleLimit: this.#idleLimit,
      mayReject: () => {
        const policy = this.policy(service);
        return policy !== undefined &&
          (policy.keyed || areConnectionsScarce(policy, this.vms));
      },
    };
  }

  #forget(id: string): void {
    this.#missingSince.delete(id);
    const known = this.#upstreams.get(id);
    if (known === undefined) return;
    this.#upstreams.delete(id);
    known.retire();
    this.#opts.logger.info(
      { upstream: id, service: known.entry.service },
      "upstream is gone",
    );
    this.changed.notify();
  }
}

function leastPriorities(config: RoutingConfig): Map<string, number> {
  const least = new Map<string, number>();
  for (const { parts, priority } of config.routes) {
    for (const { service } of parts) {
      least.set(service, Math.min(priority, least.get(service) ?? priority));
    }
  }
  return least;
}
