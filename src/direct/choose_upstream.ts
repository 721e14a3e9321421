import type { Choice } from "./choice.ts";
import { connectionLimit } from "./connection_limit.ts";
import type { FleetView } from "./fleet_view.ts";
import { preferredUpstreams } from "./preferred_upstreams.ts";
import type { Route } from "./route.ts";
import type { Upstream } from "./upstream.ts";

type Place = { vm: string; failureDomain: string; region: string };
type Query = {
  view: FleetView;
  route: Route;
  service: string;
  /** Number of the key; used if the service is divided by key. */
  key: number | undefined;
  /** Upstreams that the request was sent to already. */
  tried: ReadonlySet<Upstream>;
  /** Where this VM is. */
  place: Place;
  /** Mean time of the request's work, in milliseconds. */
  workMs: number;
  /** How long the caller still waits, in milliseconds. */
  remainingMs: number;
  now: number;
};
type Rated = { upstream: Upstream; expectedMs: number; costMs: number };

/** Round trips, from the deployments' sheets. */
const SAME_REGION_RTT_MS = 2;
const OTHER_REGION_RTT_MS = 42;
/**
 * Bytes between places are billed; another place must promise an answer that
 * is earlier by these parts of the latency objective.
 */
const OTHER_DOMAIN_COST = 0.03;
const OTHER_REGION_COST = 0.4;
/** Cost of a failure in parts of the latency objective. */
const FAILURE_COST = 2;
/**
 * The preferred upstreams are enough if one of them costs at most this part of
 * the objective. Work that is expected to take longer is often late, since it
 * spreads widely around its mean.
 */
const PREFERRED_COST = 0.6;
/** Among upstreams that are this close, chance decides. */
const TIE_PART = 0.1;
/**
 * Part of the remaining time that the expected time may take. Beyond it the
 * answer would mostly come too late.
 */
const ADMITTED_PART = 0.85;
/** The same for requests that are less urgent than others of the service. */
const ADMITTED_PART_LESS_URGENT = 0.5;
/** Planned moves of keys take some hundred ms. */
const MOVE_WAIT_MS = 400;
/** Well below the time after which a leaving upstream gets no work (2.5 s). */
const LEAVING_OWNER_MS = 1200;
const RETRY_UNAVAILABLE_MS = 500;
const RETRY_OVERLOADED_MS = 150;

/**
 * Decides where a request goes: the upstream that is expected to answer first,
 * where its place and its failures count as time. A request that no upstream
 * could answer in time is refused.
 *
 * @param query - the request and this VM's view of the deployment
 * @returns the upstream, a wait, or a refusal
 */
export function chooseUpstream(query: Query): Choice {
  const { view, service, key } = query;
  const policy = view.policy(service);
  if (policy === undefined) return unavailable("service is not configured");
  if (!policy.keyed) return chooseAmong(query, allowed(query));
  if (key === undefined) {
    return {
      kind: "refuse",
      code: "missing_key",
      reason: "no key",
      retryAfterMs: RETRY_UNAVAILABLE_MS,
    };
  }
  const range = view.ranges(service)?.find(key);
  if (range === undefined) return unavailable("key has no owner");
  if (range.previous.length > 0) {
    const alive = range.previous.every(({ id, incarnation }) =>
      view.upstream(id)?.entry.incarnation === incarnation
    );
    // A planned move takes some hundred ms; the keys of a lost owner come
    // back only when its lease has run out.
    return alive
      ? { kind: "wait", ms: MOVE_WAIT_MS, reason: "key moves" }
      : unavailable("key waits for the lease of a lost owner");
  }
  const owner = view.upstream(range.owner.id);
  if (owner?.entry.incarnation !== range.owner.incarnation) {
    return unavailable("owner of the key is gone");
  }
  // Until its keys move, a leaving owner is the only one who can serve them.
  if (!view.isUsable(owner) && view.leavingMs(owner) > LEAVING_OWNER_MS) {
    return { kind: "wait", ms: MOVE_WAIT_MS, reason: "owner is leaving" };
  }
  if (!isHome(query, owner)) return unavailable("owner is in another region");
  return chooseAmong(query, [owner]);
}

function allowed(query: Query): Upstream[] {
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
  const bound = { perS: policy.warmUpPerS, vms: view.vms };
  const warm = reachable.filter(({ warmUp }) =>
    warmUp.msToSend(bound, now) === 0
  );
  if (warm.length === 0) {
    const ms = Math.min(
      ...reachable.map(({ warmUp }) => warmUp.msToSend(bound, now)),
    );
    return ms < MOVE_WAIT_MS && ms < remainingMs
      ? { kind: "wait", ms, reason: "upstream is cold" }
      : unavailable("upstreams are cold");
  }
  const connections = connectionLimit(policy, view.vms);
  const free = warm.filter(({ load }) => load.inFlight < connections);
  if (free.length === 0) return overloaded("no connection is free", 0);
  const best = pickUpstream(query, free);
  const part = view.isLessUrgent(service, query.route.priority)
    ? ADMITTED_PART_LESS_URGENT
    : ADMITTED_PART;
  if (best.expectedMs > part * remainingMs) {
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

/** Looks beyond the preferred upstreams only if none of them is good. */
function pickUpstream(query: Query, free: readonly Upstream[]): Rated {
  const { view, place, route } = query;
  const near = free.filter(({ entry }) =>
    view.regionOf(entry.failureDomain) === place.region
  );
  const preferred = preferredUpstreams(place.vm, near, {
    upstreams: free.length,
    vms: view.vms,
  });
  if (preferred.length > 0) {
    const best = pickBest(preferred.map((upstream) => rate(query, upstream)));
    if (best.costMs <= PREFERRED_COST * route.objectiveMs) return best;
  }
  return pickBest(free.map((upstream) => rate(query, upstream)));
}

function rate(query: Query, upstream: Upstream): Rated {
  const { view, place, route, workMs, now } = query;
  const { failureDomain } = upstream.entry;
  const { waitMs, runMs } = upstream.load.expect(workMs, now);
  const otherRegion = view.regionOf(failureDomain) !== place.region;
  const rttMs = otherRegion ? OTHER_REGION_RTT_MS : SAME_REGION_RTT_MS;
  const expectedMs = waitMs + runMs + rttMs;
  const placeCost = otherRegion
    ? OTHER_REGION_COST
    : failureDomain === place.failureDomain
    ? 0
    : OTHER_DOMAIN_COST;
  const failing = upstream.failures.share(now);
  const costMs = expectedMs +
    route.objectiveMs * (placeCost + FAILURE_COST * failing);
  return { upstream, expectedMs, costMs };
}

function pickBest(rated: readonly Rated[]): Rated {
  const least = Math.min(...rated.map(({ costMs }) => costMs));
  const close = rated.filter(({ costMs }) => costMs <= least * (1 + TIE_PART));
  const picked = close[Math.floor(Math.random() * close.length)];
  if (picked === undefined) throw new Error("no upstream was rated");
  return picked;
}

function unavailable(reason: string): Choice {
  return {
    kind: "refuse",
    code: "upstream_unavailable",
    reason,
    retryAfterMs: RETRY_UNAVAILABLE_MS,
  };
}

function overloaded(reason: string, expectedMs: number): Choice {
  return {
    kind: "refuse",
    code: "overloaded",
    reason,
    retryAfterMs: Math.max(RETRY_OVERLOADED_MS, expectedMs / 2),
  };
}
