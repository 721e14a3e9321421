import type { FleetView } from "../direct/fleet_view.ts";
import type { Upstream } from "../direct/upstream.ts";
import { rendezvousScore } from "../base/rendezvous_score.ts";
import { isBalancedDomain } from "./is_balanced_domain.ts";
import { domainCapacities } from "./domain_capacities.ts";
import type { DomainLoad } from "./domain_load.ts";
import type { DomainPlan } from "./domain_plan.ts";
import { domainDemand } from "./domain_demand.ts";
import { LeaveShares } from "./leave_shares.ts";

type Options = {
  view: FleetView;
  location: { vm: string; failureDomain: string; region: string };
  figures: (
    service: string,
    domain: string,
    now: number,
  ) => DomainLoad | undefined;
  /** @returns mean run time of requests to a service, in milliseconds */
  workMs: (service: string) => number;
  /** Called with each plan: pressure of the own domain, and what should leave. */
  onPlanned: (
    planned: { service: string; pressure: number; share: number },
  ) => void;
  /** Called when the share of a service that leaves changes much. */
  onChanged: (
    change: { service: string; before: number; after: number },
  ) => void;
};
type Kept = { plan: DomainPlan | undefined; until: number };

/** Upstreams and figures change little within this time. */
const PLAN_LIFETIME_MS = 100;

/**
 * Plans, for each service, what share of the requests may leave this VM's
 * failure domain, from the loads that the VMs share.
 */
export class DomainBalancer {
  readonly #opts: Options;
  readonly #kept = new Map<string, Kept>();
  readonly #shares = new Map<string, LeaveShares>();
  readonly #scores = new WeakMap<Upstream, number>();

  /**
   * @param opts - upstreams, location of this VM, and shared figures
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * @param service - name of a service
   * @param now - monotonic milliseconds
   * @returns the plan; undefined if the service is not balanced in this VM's
   * failure domain or its load is not known
   */
  plan(service: string, now: number): DomainPlan | undefined {
    const kept = this.#kept.get(service);
    if (kept !== undefined && now < kept.until) return kept.plan;
    const plan = this.#makePlan(service, now);
    this.#kept.set(service, { plan, until: now + PLAN_LIFETIME_MS });
    return plan;
  }

  readonly #prefer: DomainPlan["prefer"] = (upstreams, count) => {
    if (upstreams.length <= count) return upstreams;
    // The least score of the preferred, without sorting all upstreams.
    const best: number[] = [];
    for (const upstream of upstreams) {
      const score = this.#scoreOf(upstream);
      if (best.length === count && score <= (best[count - 1] ?? 0)) continue;
      let index = best.length < count ? best.length : count - 1;
      for (; index > 0 && (best[index - 1] ?? 0) < score; index--) {
        best[index] = best[index - 1] ?? 0;
      }
      best[index] = score;
    }
    const least = best[best.length - 1] ?? 0;
    return upstreams.filter((upstream) => this.#scoreOf(upstream) >= least);
  };

  /** Rendezvous score of an upstream for this VM, which never changes. */
  #scoreOf(upstream: Upstream): number {
    let score = this.#scores.get(upstream);
    if (score === undefined) {
      score = rendezvousScore(this.#opts.location.vm, upstream.entry.id);
      this.#scores.set(upstream, score);
    }
    return score;
  }

  #makePlan(service: string, now: number): DomainPlan | undefined {
    const { view, location, figures, workMs, onPlanned, onChanged } =
      this.#opts;
    const capacities = domainCapacities(view, service).get(service) ??
      new Map<string, { upstreams: number; slots: number }>();
    const own = capacities.get(location.failureDomain);
    if (own === undefined || !isBalancedDomain(own)) {
      this.#drop(service);
      return undefined;
    }
    const domains: DomainPlan["domains"] = new Map();
    for (const [domain, { slots }] of capacities) {
      const found = figures(service, domain, now);
      const otherRegion = view.regionOf(domain) !== location.region;
      if (found === undefined && !otherRegion) {
        this.#drop(service);
        return undefined;
      }
      // Without figures, another region is judged by the VM's own samples, and
      // no share is planned for it.
      domains.set(domain, {
        slots,
        pressure: found === undefined ? 0 : found.inFlight / slots,
        demand: found === undefined
          ? Infinity
          : domainDemand(found, { slots, workMs: workMs(service) }),
        share: 0,
        otherRegion,
      });
    }
    const shares = this.#shares.get(service) ?? new LeaveShares();
    this.#shares.set(service, shares);
    const before = shares.announced;
    shares.update(location.failureDomain, domains, now);
    onPlanned({
      service,
      pressure: domains.get(location.failureDomain)?.pressure ?? 0,
      share: shares.total,
    });
    const after = shares.announced;
    if (before !== after) onChanged({ service, before, after });
    return { domains, prefer: this.#prefer };
  }

  #drop(service: string): void {
    const shares = this.#shares.get(service);
    if (shares === undefined) return;
    this.#shares.delete(service);
    const { onPlanned, onChanged } = this.#opts;
    onPlanned({ service, pressure: 0, share: 0 });
    if (shares.announced > 0) {
      onChanged({ service, before: shares.announced, after: 0 });
    }
  }
}
