import { pickBalanced } from "../balance/pick_balanced.ts";
import type { DomainBalancer } from "../balance/domain_balancer.ts";
import type { Choice } from "./choice.ts";
import { connectionLimit } from "./connection_limit.ts";
import type { FleetView } from "./fleet_view.ts";
import { preferredUpstreams } from "./preferred_upstreams.ts";
import type { RatedUpstream } from "./rated_upstream.ts";
import type { Route } from "./route.ts";
import type { Upstream } from "./upstream.ts";

type VmLocation = { vm: string; failureDomain: string; region: string };
type Query = {
  view: FleetView;
  route: Route;
  service: string;
  /** Number of the key; required if the service is keyed. */
  key: number | undefined;
  /** Upstreams that are not chosen again for this request. */
  tried: ReadonlySet<Upstream>;
  /** Identity and location of this VM. */
  location: VmLocation;
  /**
   * Mean run time of such a request at an average upstream, in milliseconds.
   */
  workMs: number;
  /** Time until the request's deadline, in milliseconds. */
  remainingMs: number;
  /** Monotonic milliseconds. */
  now: number;
  /** Shared loads of the failure domains; without it, none are used. */
  balancer?: Pick<DomainBalancer, "plan"> | undefined;
};

/** Round-trip times, from the deployments' data sheets. */
const SAME_REGION_RTT_MS = 2;
const OTHER_REGION_RTT_MS = 42;
/**
 * Traffic between failure domains and regions is billed. An upstream elsewhere
 * is preferred only if its expected answer is earlier by this fraction of the
 * latency objective.
 */
const OTHER_DOMAIN_COST_RATIO = 0.03;
const OTHER_REGION_COST_RATIO = 0.4;
/** Cost of a certain failure, as a multiple of the latency objective. */
const FAILURE_COST_RATIO = 2;
/**
 * Other upstreams are considered only if every preferred upstream costs more
 * than this fraction of the latency objective. Run times vary widely around
 * their mean, so a request that is expected to take longer often misses the
 * objective.
 */
const PREFERRED_COST_RATIO = 0.6;
/**
 * Upstreams whose cost exceeds the lowest cost by at most this fraction count
 * as equal; one of them is chosen at random.
 */
const TIE_FRACTION = 0.1;
/**
 * A request is admitted if its expected time is at most this fraction of its
 * remaining time. Beyond it, most answers would miss the deadline.
 */
const ADMISSION_FRACTION = 0.85;
/** Admission fraction of requests that are not the service's most urgent. */
const ADMISSION_FRACTION_LESS_URGENT = 0.5;
/**
 * Longest wait for the reassignment of a key, which takes a few hundred
 * milliseconds if it is planned. Also bounds the wait for the rate limit of a
 * cold upstream.
 */
const KEY_MOVE_WAIT_MS = 400;
/** Retry delay for callers if no upstream can be used. */
const UNAVAILABLE_RETRY_AFTER_MS = 500;
const MIN_OVERLOADED_RETRY_AFTER_MS = 150;
/**
 * Retry delays vary by this fraction in both directions, so that callers that
 * were refused together do not return together.
 */
const RETRY_AFTER_JITTER = 0.3;

/**
 * Chooses the upstream with the lowest cost for a request. The cost is the time
 * until the expected answer plus penalties for another failure domain or region
 * and for recent failures. Refuses a request that is not expected to be
 * answered before its deadline.
 *
 * @param query - the request and this VM's view of the deployment
 * @returns the upstream, how long to wait before choosing again, or a refusal
 */
export function chooseUpstream(query: Query): Choice {
  const { view, service, key } = query;
  const policy = view.policy(service);
  if (policy === undefined) return unavailable("service is not configured");
  if (!policy.keyed) return chooseAmong(query, usableUpstreams(query));
  if (key === undefined) {
    return {
      kind: "refuse",
      code: "missing_key",
      reason: "no key",
      retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS,
    };
  }
  const range = view.ranges(service)?.find(key);
  if (range === undefined) return unavailable("key has no owner");
  if (range.previous.length > 0) {
    const previousRegistered = range.previous.every(({ id, incarnation }) =>
      view.upstream(id)?.entry.incarnation === incarnation
    );
    // A planned reassignment takes a few hundred milliseconds. The keys of a
    // lost owner become available only after its lease expires.
    return previousRegistered
      ? {
        kind: "wait",
        ms: KEY_MOVE_WAIT_MS,
        reason: "key moves",
      }
      : unavailable("key waits for the lease of a lost owner");
  }
  const owner = view.upstream(range.owner.id);
  if (owner?.entry.incarnation !== range.owner.incarnation) {
    return unavailable("owner of the key is gone");
  }
  if (!view.mayServeOwnKeys(owner)) {
    return {
      kind: "wait",
      ms: KEY_MOVE_WAIT_MS,
      reason: "owner is leaving",
    };
  }
  if (!isHome(query, owner)) return unavailable("owner is in another region");
  return chooseAmong(query, [owner]);
}

function usableUpstreams(query: Query): Upstream[] {
  const { view, service, tried } = query;
  const found: Upstream[] = [];
  for (const upstream of view.upstreams) {
    if (
      upstream.entry.service === service && view.isUsable(upstream) &&
      !tried.has(upstream) && isHome(query, upstream)
    ) found.push(upstream);
  }
  return found;
}

/**
 * Returns whether the upstream is in one of the route's home regions; true for
 * every upstream if the route has none.
 */
function isHome({ view, route }: Query, upstream: Upstream): boolean {
  return route.homeRegions.length === 0 ||
    route.homeRegions.includes(view.regionOf(upstream.entry.failureDomain));
}

function chooseAmong(query: Query, upstreams: readonly Upstream[]): Choice {
  const { view, service, now, remainingMs } = query;
  const policy = view.policy(service);
  if (policy === undefined || upstreams.length === 0) {
    return unavailable("no upstream is left");
  }
  const reachable = upstreams.filter(({ failures }) =>
    !failures.isUnreachable(now)
  );
  if (reachable.length === 0) return unavailable("no upstream is reachable");
  const accepting = reachable.filter((upstream) => upstream.pauseMs(now) === 0);
  if (accepting.length === 0) return awaitEndOfPause(query, reachable);
  const limit = { perS: policy.warmUpPerS, vms: view.vms };
  const sendable = accepting.filter(({ warmUp }) =>
    warmUp.msToSend(limit, now) === 0
  );
  if (sendable.length === 0) {
    const ms = Math.min(
      ...accepting.map(({ warmUp }) => warmUp.msToSend(limit, now)),
    );
    return ms < KEY_MOVE_WAIT_MS && ms < remainingMs
      ? { kind: "wait", ms, reason: "upstream is cold" }
      : unavailable("upstreams are cold");
  }
  const connections = connectionLimit(policy, view.vms);
  const free = sendable.filter(({ load }) => load.inFlight < connections);
  if (free.length === 0) return overloaded("no connection is free", 0);
  const best = pickUpstream(query, free);
  const admissionFraction = view.isLessUrgent(service, query.route.priority)
    ? ADMISSION_FRACTION_LESS_URGENT
    : ADMISSION_FRACTION;
  if (best.expectedMs > admissionFraction * remainingMs) {
    const { entry, load } = best.upstream;
    const expected = Math.round(best.expectedMs);
    return overloaded(
      `no answer in time: ${expected} ms at ${entry.id}, ${load.describe(now)}`,
      best.expectedMs,
    );
  }
  return {
    kind: "send",
    upstream: best.upstream,
    expectedMs: best.expectedMs,
  };
}

/** All upstreams that could serve the request want no requests for now. */
function awaitEndOfPause(
  { now, remainingMs }: Query,
  paused: readonly Upstream[],
): Choice {
  const ms = Math.min(...paused.map((upstream) => upstream.pauseMs(now)));
  const reason = "upstream asked for a pause";
  return ms < KEY_MOVE_WAIT_MS && ms < remainingMs
    ? { kind: "wait", ms, reason }
    : { kind: "refuse", code: "overloaded", reason, retryAfterMs: ms };
}

/** Considers other upstreams only if no preferred one is cheap enough. */
function pickUpstream(
  query: Query,
  upstreams: readonly Upstream[],
): RatedUpstream {
  const { view, location, route, service, now } = query;
  const plan = view.policy(service)?.keyed === true
    ? undefined
    : query.balancer?.plan(service, now);
  if (plan !== undefined) {
    const balanced = pickBalanced({
      workMs: query.workMs,
      remainingMs: query.remainingMs,
      plan,
      domain: location.failureDomain,
      upstreams,
      vms: view.vms,
      objectiveMs: route.objectiveMs,
      rate: (upstream) => rateUpstream(query, upstream),
    });
    if (balanced !== undefined) return balanced;
  }
  const sameRegion = upstreams.filter(({ entry }) =>
    view.regionOf(entry.failureDomain) === location.region
  );
  const preferred = preferredUpstreams(location.vm, sameRegion, {
    upstreams: upstreams.length,
    vms: view.vms,
  });
  if (preferred.length > 0) {
    const best = pickBest(
      preferred.map((upstream) => rateUpstream(query, upstream)),
    );
    if (best.costMs <= PREFERRED_COST_RATIO * route.objectiveMs) return best;
  }
  return pickBest(upstreams.map((upstream) => rateUpstream(query, upstream)));
}

function rateUpstream(query: Query, upstream: Upstream): RatedUpstream {
  const { view, location, route, workMs, now } = query;
  const { failureDomain } = upstream.entry;
  const { waitMs, runMs } = upstream.load.expectedTimes(workMs, now);
  const otherRegion = view.regionOf(failureDomain) !== location.region;
  const rttMs = otherRegion ? OTHER_REGION_RTT_MS : SAME_REGION_RTT_MS;
  const expectedMs = waitMs + runMs + rttMs;
  const locationCostRatio = otherRegion
    ? OTHER_REGION_COST_RATIO
    : failureDomain === location.failureDomain
    ? 0
    : OTHER_DOMAIN_COST_RATIO;
  const failureFraction = upstream.failures.fraction(now);
  const costMs = expectedMs +
    route.objectiveMs *
      (locationCostRatio + FAILURE_COST_RATIO * failureFraction);
  return { upstream, waitMs, runMs, expectedMs, costMs };
}

function pickBest(rated: readonly RatedUpstream[]): RatedUpstream {
  const minCostMs = Math.min(...rated.map(({ costMs }) => costMs));
  const candidates = rated.filter(({ costMs }) =>
    costMs <= minCostMs * (1 + TIE_FRACTION)
  );
  const picked = candidates[Math.floor(Math.random() * candidates.length)];
  if (picked === undefined) throw new Error("no upstream was rated");
  return picked;
}

function unavailable(reason: string): Choice {
  return {
    kind: "refuse",
    code: "upstream_unavailable",
    reason,
    retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS,
  };
}

function overloaded(reason: string, expectedMs: number): Choice {
  return {
    kind: "refuse",
    code: "overloaded",
    reason,
    retryAfterMs: Math.max(MIN_OVERLOADED_RETRY_AFTER_MS, expectedMs / 2) *
      (1 + RETRY_AFTER_JITTER * (2 * Math.random() - 1)),
  };
}
