import type { FleetView } from "../direct/fleet_view.ts";
import { ArrivalRate } from "./arrival_rate.ts";
import { isBalancedDomain } from "./is_balanced_domain.ts";
import { zoneCapacities } from "./zone_capacities.ts";
import type { ZoneLoad } from "./zone_load.ts";

type Arrivals = { mean: ArrivalRate; recent: ArrivalRate };

const MEAN_TIME_CONSTANT_MS = 1000;
const RECENT_TIME_CONSTANT_MS = 250;
/**
 * Weight of the difference between the recent and the mean rate. It makes up for
 * the age of the figures, about half a second, in a wave.
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
export class LocalZoneLoads {
  readonly #view: FleetView;
  readonly #zone: string;
  readonly #arrivals = new Map<string, Arrivals>();

  /**
   * @param view - services and upstreams
   * @param zone - failure domain of this VM
   */
  constructor(view: FleetView, zone: string) {
    this.#view = view;
    this.#zone = zone;
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
   * @returns this VM's part of the loads, without those that are zero
   */
  loads(now: number): ZoneLoad[] {
    const found = new Map<string, ZoneLoad>();
    const loadOf = (service: string, zone: string): ZoneLoad => {
      const key = `${service}\n${zone}`;
      const load = found.get(key) ??
        { service, zone, inFlight: 0, slowed: 0, arrivalsPerS: 0 };
      found.set(key, load);
      return load;
    };
    const balanced = this.#balancedServices();
    for (const [service, { mean, recent }] of this.#arrivals) {
      const meanPerS = mean.perS(now);
      if (meanPerS < MIN_ARRIVALS_PER_S) this.#arrivals.delete(service);
      else if (balanced.has(service)) {
        const recentPerS = recent.perS(now);
        loadOf(service, this.#zone).arrivalsPerS = recentPerS +
          TREND_WEIGHT * (recentPerS - meanPerS);
      }
    }
    for (const { entry, load } of this.#view.upstreams) {
      const { inFlight } = load;
      if (inFlight === 0 || !balanced.has(entry.service)) continue;
      const sum = loadOf(entry.service, entry.failureDomain);
      sum.inFlight += inFlight;
      sum.slowed += inFlight * load.typicalSlowdown(now);
    }
    return [...found.values()].slice(0, MAX_LOADS);
  }

  /** Services that are balanced in some failure domain. */
  #balancedServices(): Set<string> {
    const services = new Set<string>();
    for (const [service, zones] of zoneCapacities(this.#view)) {
      if ([...zones.values()].some(isBalancedDomain)) services.add(service);
    }
    return services;
  }
}
