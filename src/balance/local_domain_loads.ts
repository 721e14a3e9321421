import type { FleetView } from "../direct/fleet_view.ts";
import { ArrivalRate } from "./arrival_rate.ts";
import { isBalancedDomain } from "./is_balanced_domain.ts";
import { domainCapacities } from "./domain_capacities.ts";
import type { DomainLoad } from "./domain_load.ts";

type Arrivals = { mean: ArrivalRate; recent: ArrivalRate };

const MEAN_TIME_CONSTANT_MS = 1000;
const RECENT_TIME_CONSTANT_MS = 250;
/**
 * Weight of the difference between the recent and the mean rate. It makes up for
 * some of the age of the figures, about a second, in a wave.
 */
const TREND_WEIGHT = 0.5;
/** Slower rates are not reported. */
const MIN_ARRIVALS_PER_S = 0.05;
/** Bounds the size of a message, whatever operators configure. */
const MAX_LOADS = 64;

/**
 * Measures what this VM adds to the load of services and failure domains: the
 * arrivals in its own domain and its requests in flight in each domain.
 */
export class LocalDomainLoads {
  readonly #view: FleetView;
  readonly #domain: string;
  readonly #arrivals = new Map<string, Arrivals>();

  /**
   * @param view - services and upstreams
   * @param domain - failure domain of this VM
   */
  constructor(view: FleetView, domain: string) {
    this.#view = view;
    this.#domain = domain;
  }

  /**
   * Counts a request of a client.
   *
   * @param service - service of the request
   * @param now - monotonic milliseconds
   */
  onRequest(service: string, now: number): void {
    let arrivals = this.#arrivals.get(service);
    if (arrivals === undefined) {
      arrivals = {
        mean: new ArrivalRate(MEAN_TIME_CONSTANT_MS, now),
        recent: new ArrivalRate(RECENT_TIME_CONSTANT_MS, now),
      };
      this.#arrivals.set(service, arrivals);
    }
    arrivals.mean.count(now);
    arrivals.recent.count(now);
  }

  /**
   * @param now - monotonic milliseconds
   * @returns this VM's part of the loads, without those that are zero;
   * undefined if no service is balanced
   */
  loads(now: number): DomainLoad[] | undefined {
    const balanced = this.#balancedServices();
    if (balanced.size === 0) return undefined;
    const found = new Map<string, DomainLoad>();
    const loadOf = (service: string, domain: string): DomainLoad => {
      const key = `${service}\n${domain}`;
      const load = found.get(key) ??
        { service, domain, inFlight: 0, workPerS: 0 };
      found.set(key, load);
      return load;
    };
    for (const [service, { mean, recent }] of this.#arrivals) {
      const meanPerS = mean.perS(now);
      if (meanPerS < MIN_ARRIVALS_PER_S) this.#arrivals.delete(service);
      else if (balanced.has(service)) {
        const recentPerS = recent.perS(now);
        const perS = recentPerS + TREND_WEIGHT * (recentPerS - meanPerS);
        loadOf(service, this.#domain).workPerS = perS;
      }
    }
    // Sums of the slowdowns of the own domain's upstreams, by service.
    const slowdowns = new Map<string, { sum: number; upstreams: number }>();
    for (const { entry, load } of this.#view.upstreams) {
      const { service, failureDomain } = entry;
      if (!balanced.has(service)) continue;
      if (load.inFlight > 0) {
        loadOf(service, failureDomain).inFlight += load.inFlight;
      }
      if (failureDomain !== this.#domain) continue;
      const { sum, upstreams } = slowdowns.get(service) ??
        { sum: 0, upstreams: 0 };
      slowdowns.set(service, {
        sum: sum + load.typicalSlowdown(now),
        upstreams: upstreams + 1,
      });
    }
    for (const [service, { sum, upstreams }] of slowdowns) {
      const load = found.get(`${service}\n${this.#domain}`);
      if (load !== undefined) load.workPerS *= sum / upstreams;
    }
    return [...found.values()].slice(0, MAX_LOADS);
  }

  /** Services that are balanced in some failure domain. */
  #balancedServices(): Set<string> {
    const services = new Set<string>();
    for (const [service, domains] of domainCapacities(this.#view)) {
      if ([...domains.values()].some(isBalancedDomain)) services.add(service);
    }
    return services;
  }
}
