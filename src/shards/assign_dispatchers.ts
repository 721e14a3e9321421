type DomainMember = { id: string; failureDomain: string };

// A router serves at most this multiple of the mean number of upstreams.
// Further upstreams of its failure domain go to routers of other domains.
const MAX_UPSTREAMS_TO_MEAN_RATIO = 2;

/**
 * Chooses the dispatcher of each upstream: a router of the same failure domain
 * if there is one. Balances the number of upstreams per router and changes no
 * more dispatchers than that requires.
 *
 * @param input - `upstreams` with ids that are unique across services;
 * `routers` that may dispatch, without those that are leaving or out of
 * service; `current` the current dispatcher of each upstream
 * @returns the chosen router of each upstream; empty without routers
 */
export function assignDispatchers(input: {
  upstreams: readonly DomainMember[];
  routers: readonly DomainMember[];
  current: ReadonlyMap<string, string>;
}): Map<string, string> {
  const wanted = new Map<string, string>();
  if (input.routers.length === 0) return wanted;
  const upstreams = [...input.upstreams].sort(byId);
  const routers = [...input.routers].sort(byId);
  const counts = new Map(routers.map((router) => [router.id, 0]));
  const maxPerRouter = Math.ceil(
    MAX_UPSTREAMS_TO_MEAN_RATIO * upstreams.length / routers.length,
  );

  const withoutLocalRouter: DomainMember[] = [];
  const domains = new Set(upstreams.map((upstream) => upstream.failureDomain));
  for (const domain of [...domains].sort()) {
    const group = upstreams.filter((item) => item.failureDomain === domain);
    const localRouters = routers.filter((item) =>
      item.failureDomain === domain
    );
    const routerByUpstream = assignWithinDomain(
      group,
      localRouters,
      maxPerRouter * localRouters.length,
      input.current,
    );
    for (const upstream of group) {
      const router = routerByUpstream.get(upstream.id);
      if (router === undefined) withoutLocalRouter.push(upstream);
      else assign(wanted, counts, upstream.id, router);
    }
  }
  assignAcrossDomains(withoutLocalRouter, {
    wanted,
    counts,
    current: input.current,
  });
  return wanted;
}

function byId(a: DomainMember, b: DomainMember): number {
  return a.id < b.id ? -1 : 1;
}

function assign(
  wanted: Map<string, string>,
  counts: Map<string, number>,
  upstream: string,
  router: string,
): void {
  wanted.set(upstream, router);
  counts.set(router, (counts.get(router) ?? 0) + 1);
}

/** Divides upstreams evenly among the routers with the fewest changes. */
function assignWithinDomain(
  group: readonly DomainMember[],
  routers: readonly DomainMember[],
  capacity: number,
  current: ReadonlyMap<string, string>,
): Map<string, string> {
  const result = new Map<string, string>();
  if (routers.length === 0) return result;
  const total = Math.min(group.length, capacity);
  const currentCounts = new Map(routers.map((router) => [router.id, 0]));
  for (const upstream of group) {
    const router = current.get(upstream.id);
    const count = router === undefined ? undefined : currentCounts.get(router);
    if (router !== undefined && count !== undefined) {
      currentCounts.set(router, count + 1);
    }
  }
  const base = Math.floor(total / routers.length);
  const extra = total % routers.length;
  const byCurrentCount = routers.map((router) => router.id).sort((a, b) =>
    (currentCounts.get(b) ?? 0) - (currentCounts.get(a) ?? 0)
  );
  const freeSlots = new Map(
    byCurrentCount.map((id, index) => [id, base + (index < extra ? 1 : 0)]),
  );
  for (const upstream of group) {
    const router = current.get(upstream.id);
    const slots = router === undefined ? 0 : freeSlots.get(router) ?? 0;
    if (router === undefined || slots === 0) continue;
    result.set(upstream.id, router);
    freeSlots.set(router, slots - 1);
  }
  for (const upstream of group) {
    if (result.has(upstream.id)) continue;
    const mostFree = [...freeSlots].sort((a, b) =>
      b[1] - a[1] || (a[0] < b[0] ? -1 : 1)
    )[0];
    if (mostFree === undefined || mostFree[1] === 0) break;
    result.set(upstream.id, mostFree[0]);
    freeSlots.set(mostFree[0], mostFree[1] - 1);
  }
  return result;
}

/**
 * Assigns upstreams without a local router to the routers that have the fewest
 * upstreams.
 */
function assignAcrossDomains(
  upstreams: readonly DomainMember[],
  state: {
    wanted: Map<string, string>;
    counts: Map<string, number>;
    current: ReadonlyMap<string, string>;
  },
): void {
  const { wanted, counts, current } = state;
  const level = levelAfterAdding([...counts.values()], upstreams.length);
  const unassigned: DomainMember[] = [];
  for (const upstream of upstreams) {
    const router = current.get(upstream.id);
    const count = router === undefined ? undefined : counts.get(router);
    if (router !== undefined && count !== undefined && count < level) {
      assign(wanted, counts, upstream.id, router);
    } else {
      unassigned.push(upstream);
    }
  }
  for (const upstream of unassigned) {
    const router = [...counts].sort((a, b) =>
      a[1] - b[1] || (a[0] < b[0] ? -1 : 1)
    )[0];
    if (router !== undefined) assign(wanted, counts, upstream.id, router[0]);
  }
}

/** Returns the lowest limit per router at which `additional` upstreams fit. */
function levelAfterAdding(
  counts: readonly number[],
  additional: number,
): number {
  let level = Math.max(0, ...counts.map((count) => Math.min(count, 0)));
  while (
    counts.reduce((sum, count) => sum + Math.max(0, level - count), 0) <
      additional
  ) level += 1;
  return level;
}
