import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { DirectMetrics } from "../direct/direct_metrics.ts";
import type { FleetView } from "../direct/fleet_view.ts";
import { LocalDomainLoads } from "./local_domain_loads.ts";
import { DomainBalancer } from "./domain_balancer.ts";
import { DomainLoadExchange } from "./domain_load_exchange.ts";

type Options = {
  location: { vm: string; failureDomain: string; region: string };
  view: FleetView;
  /** @returns mean run time of requests to a service, in milliseconds */
  workMs: (service: string) => number;
  clock: Clock;
  logger: Logger;
  metrics: DirectMetrics;
};

/**
 * Balances load between failure domains on one VM: measures its part of the
 * loads, exchanges them with other VMs and plans what leaves its domain.
 */
export class DomainBalance {
  readonly exchange: DomainLoadExchange;
  readonly balancer: DomainBalancer;
  readonly #opts: Options;
  readonly #local: LocalDomainLoads;

  /**
   * @param opts - location of this VM, and its view of the deployment
   */
  constructor(opts: Options) {
    this.#opts = opts;
    const { location, view, clock, logger, metrics } = opts;
    this.#local = new LocalDomainLoads(view, location.failureDomain);
    this.exchange = new DomainLoadExchange({
      vm: location.vm,
      region: location.region,
      regionOf: (domain) => view.regionOf(domain),
      localLoads: (now) => this.#local.loads(now),
      clock,
    });
    this.balancer = new DomainBalancer({
      view,
      location,
      figures: (...args) => this.exchange.figures(...args),
      workMs: opts.workMs,
      onPlanned: ({ service, pressure, share }) => {
        metrics.domainPressure.set({ service }, pressure);
        metrics.domainLeaveShare.set({ service }, share);
      },
      onChanged: (change) =>
        logger.info(change, "share of requests that leave the domain changed"),
    });
  }

  /**
   * Counts a request of a client.
   *
   * @param service - service of the request
   */
  onRequest(service: string): void {
    this.#local.onRequest(service, this.#opts.clock.now());
  }

  /**
   * Counts a request that is sent to an upstream.
   *
   * @param service - service of the request
   * @param domain - failure domain of the upstream
   */
  onSent(service: string, domain: string): void {
    const { location, view, metrics } = this.#opts;
    const distance = domain === location.failureDomain
      ? "own_domain"
      : view.regionOf(domain) === location.region
      ? "other_domain"
      : "other_region";
    metrics.attemptDistances.inc({ service, distance });
  }
}
