type Placed = { id: string; failureDomain: string };

// A router carries at most this multiple of the mean before upstreams of its
// failure domain go to routers of another one.
const MAX_OVER_MEAN = 2;

/**
 * Chooses the dispatcher of each upstream: a router of the same failure domain
 * if there is one, balanced counts, and no more changes than that needs.
 *
 * @param input - `upstreams` with ids unique over all services; `routers` that
 * may dispatch, without those that leave or are taken out; `present` the
 * dispatcher of each upstream now
 * @returns the wanted router of each upstream; empty without routers
 */
export function assignDispatchers(input: {
  upstreams: readonly Placed[];
  routers: readonly Placed[];
  present: ReadonlyMap<string, string>;
}): Map<string, string> {
  const wanted = new Map<string, string>();
  if (input.routers.length === 0) return wanted;
  const upstreams = [...input.upstreams].sort(byId);
  const routers = [...input.routers].sort(byId);
  const counts = new Map(routers.map((router) => [router.id, 0]));
  const most = Math.ceil(
    MAX_OVER_MEAN * upstreams.length / routers.length,
  );

  const strangers: Placed[] = [];
  const domains = new Set(upstreams.map((upstream) => upstream.failureDomain));
  for (const domain of [...domains].sort()) {
    const group = upstreams.filter((item) => item.failureDomain === domain);
    const local = routers.filter((item) => item.failureDomain === domain);
    const fitting = spread(group, local, most * local.length, input.present);
    for (const upstream of group) {
      const router = fitting.get(upstream.id);
      if (router === undefined) strangers.push(upstream);
      else assign(wanted, counts, upstream.id, router);
    }
  }
  placeStrangers(strangers, { wanted, counts, present: input.present });
  return wanted;
}

function byId(a: Placed, b: Placed): number {
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

function spread(
  group: readonly Placed[],
  routers: readonly Placed[],
  capacity: number,
  present: ReadonlyMap<string, string>,
): Map<string, string> {
  const result = new Map<string, string>();
  if (routers.length === 0) return result;
  const total = Math.min(group.length, capacity);
  const held = new Map(routers.map((router) => [router.id, 0]));
  for (const upstream of group) {
    const router = present.get(upstream.id);
    const count = router === undefined ? undefined : held.get(router);
    if (router !== undefined && count !== undefined) {
      held.set(router, count + 1);
    }
  }
  const base = Math.floor(total / routers.length);
  const extra = total % routers.length;
  const byHeld = routers.map((router) => router.id).sort((a, b) =>
    (held.get(b) ?? 0) - (held.get(a) ?? 0)
  );
  const room = new Map(
    byHeld.map((id, index) => [id, base + (index < extra ? 1 : 0)]),
  );
  for (const upstream of group) {
    const router = present.get(upstream.id);
    const left = router === undefined ? 0 : room.get(router) ?? 0;
    if (router === undefined || left === 0) continue;
    result.set(upstream.id, router);
    room.set(router, left - 1);
  }
  for (const upstream of group) {
    if (result.has(upstream.id)) continue;
    const open = [...room].sort((a, b) =>
      b[1] - a[1] || (a[0] < b[0] ? -1 : 1)
    )[0];
    if (open === undefined || open[1] === 0) break;
    result.set(upstream.id, open[0]);
    room.set(open[0], open[1] - 1);
  }
  return result;
}

/** Upstreams without a router of their own domain fill the emptiest routers. */
function placeStrangers(
  strangers: readonly Placed[],
  state: {
    wanted: Map<string, string>;
    counts: Map<string, number>;
    present: ReadonlyMap<string, string>;
  },
): void {
  const { wanted, counts, present } = state;
  const level = fillLevel([...counts.values()], strangers.length);
  const homeless: Placed[] = [];
  for (const upstream of strangers) {
    const router = present.get(upstream.id);
    const count = router === undefined ? undefined : counts.get(router);
    if (router !== undefined && count !== undefined && count < level) {
      assign(wanted, counts, upstream.id, router);
    } else {
      homeless.push(upstream);
    }
  }
  for (const upstream of homeless) {
    const router = [...counts].sort((a, b) =>
      a[1] - b[1] || (a[0] < b[0] ? -1 : 1)
    )[0];
    if (router !== undefined) assign(wanted, counts, upstream.id, router[0]);
  }
}

/** Smallest height to which all counts can rise to take in `more`. */
function fillLevel(counts: readonly number[], more: number): number {
  let level = Math.max(0, ...counts.map((count) => Math.min(count, 0)));
  while (
    counts.reduce((sum, count) => sum + Math.max(0, level - count), 0) < more
  ) level += 1;
  return level;
}
