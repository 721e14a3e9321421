type PlannedUpstream = {
  id: string;
  /** Relative share; a slow upstream has a smaller one. */
  weight: number;
  /** `out` upstreams own nothing. */
  state: "in" | "out";
  /** Most shards while the upstream warms up; undefined is no bound. */
  cap?: number | undefined;
  /** Measured load in requests a second, if known. */
  load?: number | undefined;
};

type Quota = { upstream: PlannedUpstream; exact: number; count: number };

/**
 * Chooses the owner of each shard with the least movement: an upstream gives up
 * only what exceeds its part of the shards.
 *
 * A cap is respected while uncapped upstreams can take the rest. When every
 * upstream is capped, as at the first start, the rest is divided by weight,
 * because an unassigned shard is worse than a queue at a cold upstream.
 *
 * @param input - `own` the region's shards; `owners` the present owner of each
 * shard by number, undefined where there is none
 * @returns the wanted owner of each shard by number; undefined for shards of
 * other regions and when no upstream is in
 */
export function planShards(input: {
  own: readonly number[];
  upstreams: readonly PlannedUpstream[];
  owners: readonly (string | undefined)[];
}): (string | undefined)[] {
  const wanted = new Array<string | undefined>(input.owners.length);
  const usable = input.upstreams
    .filter((upstream) => upstream.state === "in" && upstream.weight > 0)
    .sort((a, b) => a.id < b.id ? -1 : 1);
  if (usable.length === 0) return wanted;

  const present = new Map(usable.map((upstream) => [upstream.id, 0]));
  for (const shard of input.own) {
    const owner = input.owners[shard];
    const count = owner === undefined ? undefined : present.get(owner);
    if (owner !== undefined && count !== undefined) {
      present.set(owner, count + 1);
    }
  }
  const room = new Map(
    planQuotas(usable, input.own.length, present)
      .map((quota) => [quota.upstream.id, quota.count]),
  );

  const free: number[] = [];
  for (const shard of input.own) {
    const owner = input.owners[shard];
    const left = owner === undefined ? 0 : room.get(owner) ?? 0;
    if (owner !== undefined && left > 0) {
      room.set(owner, left - 1);
      wanted[shard] = owner;
    } else {
      free.push(shard);
    }
  }
  // Each free shard goes where most room is left, so that the shards of one
  // lost upstream spread over all others.
  const open = usable.filter((upstream) => (room.get(upstream.id) ?? 0) > 0);
  for (const shard of free) {
    const target = open.reduce((best, other) =>
      compareRoom(other, best, room) < 0 ? other : best
    );
    wanted[shard] = target.id;
    const left = (room.get(target.id) ?? 0) - 1;
    room.set(target.id, left);
    if (left === 0) open.splice(open.indexOf(target), 1);
  }
  return wanted;
}

function compareRoom(
  a: PlannedUpstream,
  b: PlannedUpstream,
  room: ReadonlyMap<string, number>,
): number {
  return (room.get(b.id) ?? 0) - (room.get(a.id) ?? 0) ||
    (a.load ?? 0) - (b.load ?? 0);
}

function planQuotas(
  upstreams: readonly PlannedUpstream[],
  total: number,
  present: ReadonlyMap<string, number>,
): Quota[] {
  const quotas: Quota[] = [];
  let rest = total;
  let open = [...upstreams];
  for (;;) {
    const weight = sumOf(open.map((upstream) => upstream.weight));
    const share = rest;
    const capped = open.filter((upstream) =>
      upstream.cap !== undefined &&
      upstream.cap < share * upstream.weight / weight
    );
    if (capped.length === 0) break;
    for (const upstream of capped) {
      const cap = Math.max(0, Math.floor(upstream.cap ?? 0));
      quotas.push({ upstream, exact: cap, count: cap });
      rest -= cap;
    }
    open = open.filter((upstream) => !capped.includes(upstream));
    if (open.length === 0) break;
  }
  if (open.length > 0) {
    quotas.push(...divide(open, rest, present));
  } else if (rest > 0) {
    const over = divide(upstreams, rest, new Map());
    for (const quota of quotas) {
      const extra = over.find((other) => other.upstream === quota.upstream);
      quota.count += extra?.count ?? 0;
    }
  }
  return quotas;
}

function divide(
  upstreams: readonly PlannedUpstream[],
  total: number,
  present: ReadonlyMap<string, number>,
): Quota[] {
  const weight = sumOf(upstreams.map((upstream) => upstream.weight));
  const quotas = upstreams.map((upstream) => {
    const exact = total * upstream.weight / weight;
    return { upstream, exact, count: Math.floor(exact) };
  });
  const rest = total - sumOf(quotas.map((quota) => quota.count));
  // The remainder goes to upstreams that own more than their part anyway, so
  // that nothing moves because of rounding.
  const byClaim = [...quotas].sort((a, b) =>
    Math.min(1, surplus(b, present)) - Math.min(1, surplus(a, present)) ||
    (b.exact - b.count) - (a.exact - a.count) ||
    (a.upstream.load ?? 0) - (b.upstream.load ?? 0)
  );
  for (const quota of byClaim.slice(0, rest)) quota.count += 1;
  return quotas;
}

function surplus(
  quota: Quota,
  present: ReadonlyMap<string, number>,
): number {
  return Math.max(0, (present.get(quota.upstream.id) ?? 0) - quota.count);
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
