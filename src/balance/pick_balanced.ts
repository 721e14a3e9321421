import type { RatedUpstream } from "../direct/rated_upstream.ts";
import type { Upstream } from "../direct/upstream.ts";
import type { DomainPlan } from "./domain_plan.ts";

type Request = {
  plan: DomainPlan;
  /** Failure domain of this VM. */
  domain: string;
  /** Upstreams that may get the request, in all domains that may serve it. */
  upstreams: readonly Upstream[];
  /** Number of VMs of the system. */
  vms: number;
  objectiveMs: number;
  /** Mean run time of such a request at an average upstream. */
  workMs: number;
  /** Time until the request's deadline, in milliseconds. */
  remainingMs: number;
  /** @returns expected times and cost; the cost covers distance and failures */
  rate: (upstream: Upstream) => RatedUpstream;
};

/** As in `preferredUpstreams`, but the number is that of one domain. */
const VMS_PER_UPSTREAM = 8;
const MIN_PREFERRED = 6;
/** Costs that differ by less count as equal; one is chosen at random. */
const TIE_FRACTION = 0.1;
/**
 * A request that is expected to be answered within this fraction of its
 * objective stays. Run times vary widely around their mean.
 */
const STAY_FRACTION = 0.45;
/**
 * Advantage, as a fraction of the objective, for which other requests leave
 * their domain, in addition to what the cost contains. Requests that belong to
 * the share that should leave do so as well if it costs them a little, so that
 * the queue of an overloaded domain ends. Fractions were chosen with the model in
 * `tests/balance`; see `docs/design/load-balancing.md`.
 */
const MARGIN_FRACTION = 0.2;
const SHARE_MARGIN_FRACTION = -0.05;
/** Other regions are dear, and figures of them are older. */
const REGION_MARGIN_FRACTION = 0.15;
const REGION_SHARE_MARGIN_FRACTION = 0.05;

/**
 * Picks an upstream in the VM's own domain unless another domain is expected to
 * answer earlier by a margin, which depends on the shares of the plan.
 *
 * @param request - the request, the plan of its service and the upstreams
 * @returns the upstream; undefined if the own domain has none for the request
 */
export function pickBalanced(request: Request): RatedUpstream | undefined {
  const { plan, domain, upstreams } = request;
  const byDomain = new Map<string, Upstream[]>();
  for (const upstream of upstreams) {
    const { failureDomain } = upstream.entry;
    const list = byDomain.get(failureDomain);
    if (list === undefined) byDomain.set(failureDomain, [upstream]);
    else list.push(upstream);
  }
  const home = byDomain.get(domain);
  if (home === undefined) return undefined;
  const limitMs = Math.min(request.objectiveMs, request.remainingMs);
  const best = pickInDomain(request, home);
  if (best.expectedMs <= STAY_FRACTION * limitMs) return best;
  let picked = best;
  let minCostMs = best.costMs;
  for (const [other, list] of byDomain) {
    const figures = plan.domains.get(other);
    if (other === domain || figures === undefined) continue;
    // The VM's own estimates of upstreams that it seldom uses are old. The
    // shared figures tell of a queue that they miss.
    const queuedMs = Math.max(0, figures.pressure - 1) * request.workMs;
    const leastMs = queuedMs + request.workMs;
    if (leastMs >= best.costMs) continue;
    const rated = pickInDomain(request, list);
    // Only the other domain is expected to meet the objective.
    const rescues = !figures.otherRegion && best.expectedMs > limitMs &&
      Math.max(rated.expectedMs, leastMs) <= limitMs;
    const marginMs = rescues ? 0 : limitMs * marginFraction(figures);
    const costMs = Math.max(rated.costMs, leastMs) + marginMs;
    if (costMs >= minCostMs) continue;
    minCostMs = costMs;
    picked = rated;
  }
  return picked;
}

function marginFraction(
  { otherRegion, share }: { otherRegion: boolean; share: number },
): number {
  const planned = Math.random() < share;
  if (otherRegion) {
    return planned ? REGION_SHARE_MARGIN_FRACTION : REGION_MARGIN_FRACTION;
  }
  return planned ? SHARE_MARGIN_FRACTION : MARGIN_FRACTION;
}

/**
 * Picks the cheapest of the upstreams that the VM prefers in a domain. It prefers
 * few, so that it knows their load from recent answers.
 */
function pickInDomain(
  { plan, vms, upstreams, rate }: Request,
  domainUpstreams: readonly Upstream[],
): RatedUpstream {
  const size = Math.max(
    MIN_PREFERRED,
    Math.ceil(VMS_PER_UPSTREAM * upstreams.length / vms),
  );
  const preferred = plan.prefer(domainUpstreams, size);
  let minCostMs = Infinity;
  const rated = preferred.map((upstream) => {
    const found = rate(upstream);
    minCostMs = Math.min(minCostMs, found.costMs);
    return found;
  });
  const ties = rated.filter(({ costMs }) =>
    costMs <= minCostMs * (1 + TIE_FRACTION)
  );
  const picked = ties[Math.floor(Math.random() * ties.length)];
  if (picked === undefined) throw new Error("no upstream was rated");
  return picked;
}
