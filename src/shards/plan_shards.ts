type PlannedUpstream = {
  id: string;
  /** Relative share of the shards; smaller for a slow upstream. */
  weight: number;
  /** An upstream that is `out` owns no shards. */
  state: "in" | "out";
  /** Maximum number of shards while warming up; undefined if unbounded. */
  cap?: number | undefined;
  /** Measured load in requests per second, if known. */
  load?: number | undefined;
};

/** Number of shards that an upstream is to own; `exact` before rounding. */
type Quota = { upstream: PlannedUpstream; exact: number; count: number };

/**
 * Chooses the owner of each shard with the fewest moves: an upstream loses only
 * the shards that exceed its quota.
 *
 * Caps are respected while uncapped upstreams can own the remaining shards. If
 * every upstream is capped, as at the first start, the remaining shards are
 * divided by weight, because an unassigned shard is worse than a queue at a
 * cold upstream.
 *
 * @param input - `own` the region's shards; `owners` the current owner of each
 * shard by number, undefined if it has none
 * @returns the chosen owner of each shard by number; undefined for shards of
 * other regions, and for all shards if no upstream is in service
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

  const currentCounts = new Map(usable.map((upstream) => [upstream.id, 0]));
  for (const shard of input.own) {
    const owner = input.owners[shard];
    const count = owner === undefined ? undefined : currentCounts.get(owner);
    if (owner !== undefined && count !== undefined) {
      currentCounts.set(owner, count + 1);
    }
  }
  const freeSlots = new Map(
    planQuotas(usable, input.own.length, currentCounts)
      .map((quota) => [quota.upstream.id, quota.count]),
  );

  const unplaced: number[] = [];
  for (const shard of input.own) {
    const owner = input.owners[shard];
    const slots = owner === undefined ? 0 : freeSlots.get(owner) ?? 0;
    if (owner !== undefined && slots > 0) {
      freeSlots.set(owner, slots - 1);
      wanted[shard] = owner;
    } else {
      unplaced.push(shard);
    }
  }
  // Each unplaced shard goes to the upstream with the most free slots, so that
  // the shards of a lost upstream spread over all others.
  const withFreeSlots = usable.filter((upstream) =>
    (freeSlots.get(upstream.id) ?? 0) > 0
  );
  for (const shard of unplaced) {
    const target = withFreeSlots.reduce((best, other) =>
      compareFreeSlots(other, best, freeSlots) < 0 ? other : best
    );
    wanted[shard] = target.id;
    const slots = (freeSlots.get(target.id) ?? 0) - 1;
    freeSlots.set(target.id, slots);
    if (slots === 0) withFreeSlots.splice(withFreeSlots.indexOf(target), 1);
  }
  return wanted;
}

function compareFreeSlots(
  a: PlannedUpstream,
  b: PlannedUpstream,
  freeSlots: ReadonlyMap<string, number>,
): number {
  return (freeSlots.get(b.id) ?? 0) - (freeSlots.get(a.id) ?? 0) ||
    (a.load ?? 0) - (b.load ?? 0);
}

/**
 * Divides `total` shards by weight. An upstream whose part would exceed its cap
 * gets the cap, and the other upstreams divide the remaining shards.
 */
function planQuotas(
  upstreams: readonly PlannedUpstream[],
  total: number,
  currentCounts: ReadonlyMap<string, number>,
): Quota[] {
  const quotas: Quota[] = [];
  let remaining = total;
  let uncapped = [...upstreams];
  for (;;) {
    const totalWeight = sumOf(uncapped.map((upstream) => upstream.weight));
    const toDivide = remaining;
    const capped = uncapped.filter((upstream) =>
      upstream.cap !== undefined &&
      upstream.cap < toDivide * upstream.weight / totalWeight
    );
    if (capped.length === 0) break;
    for (const upstream of capped) {
      const cap = Math.max(0, Math.floor(upstream.cap ?? 0));
      quotas.push({ upstream, exact: cap, count: cap });
      remaining -= cap;
    }
    uncapped = uncapped.filter((upstream) => !capped.includes(upstream));
    if (uncapped.length === 0) break;
  }
  if (uncapped.length > 0) {
    quotas.push(...divideByWeight(uncapped, remaining, currentCounts));
  } else if (remaining > 0) {
    const overflow = divideByWeight(upstreams, remaining, new Map());
    for (const quota of quotas) {
      const extra = overflow.find((other) => other.upstream === quota.upstream);
      quota.count += extra?.count ?? 0;
    }
  }
  return quotas;
}

function divideByWeight(
  upstreams: readonly PlannedUpstream[],
  total: number,
  currentCounts: ReadonlyMap<string, number>,
): Quota[] {
  const totalWeight = sumOf(upstreams.map((upstream) => upstream.weight));
  const quotas = upstreams.map((upstream) => {
    const exact = total * upstream.weight / totalWeight;
    return { upstream, exact, count: Math.floor(exact) };
  });
  const remaining = total - sumOf(quotas.map((quota) => quota.count));
  // The remainder goes first to upstreams that already own more than their
  // rounded-down quota, so that no shard moves because of rounding.
  const byPriority = [...quotas].sort((a, b) =>
    Math.min(1, surplus(b, currentCounts)) -
      Math.min(1, surplus(a, currentCounts)) ||
    (b.exact - b.count) - (a.exact - a.count) ||
    (a.upstream.load ?? 0) - (b.upstream.load ?? 0)
  );
  for (const quota of byPriority.slice(0, remaining)) quota.count += 1;
  return quotas;
}

function surplus(
  quota: Quota,
  currentCounts: ReadonlyMap<string, number>,
): number {
  return Math.max(0, (currentCounts.get(quota.upstream.id) ?? 0) - quota.count);
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
