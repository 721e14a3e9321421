type HotKey = { digest: string; ratePerS: number };
type PinUpstream = {
  id: string;
  /** Requests per second. */
  ratePerS: number;
  /** May keep the keys that are pinned to it. */
  usable: boolean;
  /** May receive additional pinned keys. */
  accepting: boolean;
};

// Fractions of the mean request rate of the usable upstreams.
const PIN_ABOVE_FRACTION_OF_MEAN = 1 / 4;
const UNPIN_BELOW_FRACTION_OF_MEAN = PIN_ABOVE_FRACTION_OF_MEAN / 2;
const UNPIN_DELAY_MS = 60_000;
const MAX_PINS = 4096;
// On an idle service every key is a large fraction of the mean. Rates are
// estimated over a few seconds, so one or two requests appear as 1/s.
const MIN_PIN_RATE_PER_S = 5;
// Requests for a key pause while it moves. A move is justified only if the
// owner has clearly more load than the other upstreams.
const MIN_OWNER_TO_MEAN_RATIO = 1.25;

/**
 * Chooses which hot keys are pinned, that is assigned individually instead of
 * with their shard, and to which upstreams.
 *
 * @param input - `pins` the current upstream of each pinned digest; `hotKeys`
 * as reported; `isOwnRegion` whether the region owns a digest's shard;
 * `ownerOf` the upstream that owns an unpinned digest through its shard,
 * undefined if the region does not own the shard or the shard is between two
 * owners; `belowThresholdSince` since when each pinned digest has been below
 * the unpinning threshold, as returned by the last call
 * @param now - monotonic milliseconds
 * @returns the chosen pins and the new `belowThresholdSince`
 */
export function planPins(
  input: {
    pins: ReadonlyMap<string, string>;
    hotKeys: readonly HotKey[];
    upstreams: readonly PinUpstream[];
    isOwnRegion: (digest: string) => boolean;
    ownerOf: (digest: string) => string | undefined;
    belowThresholdSince: ReadonlyMap<string, number>;
  },
  now: number,
): { pins: Map<string, string>; belowThresholdSince: Map<string, number> } {
  const usable = input.upstreams.filter((upstream) => upstream.usable);
  const usableIds = new Set(usable.map((upstream) => upstream.id));
  const mean = usable.reduce((sum, upstream) => sum + upstream.ratePerS, 0) /
    Math.max(1, usable.length);
  const upstreamRates = new Map(
    usable.map((upstream) => [upstream.id, upstream.ratePerS]),
  );
  const acceptingIds = new Set(
    usable.filter((item) => item.accepting).map((item) => item.id),
  );
  const keyRates = new Map<string, number>();
  for (const hotKey of input.hotKeys) {
    keyRates.set(
      hotKey.digest,
      (keyRates.get(hotKey.digest) ?? 0) + hotKey.ratePerS,
    );
  }

  const pins = new Map<string, string>();
  const belowThresholdSince = new Map<string, number>();
  for (const [digest, upstream] of input.pins) {
    const rate = keyRates.get(digest) ?? 0;
    const belowSince = rate < mean * UNPIN_BELOW_FRACTION_OF_MEAN || rate === 0
      ? input.belowThresholdSince.get(digest) ?? now
      : undefined;
    if (belowSince !== undefined) belowThresholdSince.set(digest, belowSince);
    const isUnpinned = belowSince !== undefined &&
      now - belowSince >= UNPIN_DELAY_MS;
    if (isUnpinned || !input.isOwnRegion(digest)) {
      belowThresholdSince.delete(digest);
      continue;
    }
    // A key whose upstream is no longer usable is pinned to another one only
    // while its rate is above the unpinning threshold.
    if (usableIds.has(upstream)) pins.set(digest, upstream);
    else if (belowSince === undefined) {
      addPin(digest, rate, { pins, upstreamRates, acceptingIds });
    }
  }

  const hottest = [...keyRates].sort((a, b) => b[1] - a[1]);
  for (const [digest, rate] of hottest) {
    if (
      rate <= mean * PIN_ABOVE_FRACTION_OF_MEAN || rate < MIN_PIN_RATE_PER_S
    ) break;
    if (pins.size >= MAX_PINS) break;
    if (input.pins.has(digest) || pins.has(digest)) continue;
    const owner = input.ownerOf(digest);
    if (owner === undefined) continue;
    const target = leastLoaded(upstreamRates, acceptingIds);
    // Pinning a key to its current owner changes nothing.
    if (target === undefined || target === owner) continue;
    // The move must not give the target more load than the owner has now.
    const ownerRate = upstreamRates.get(owner) ?? Infinity;
    if ((upstreamRates.get(target) ?? 0) + rate > ownerRate) continue;
    if (ownerRate < mean * MIN_OWNER_TO_MEAN_RATIO) continue;
    upstreamRates.set(owner, ownerRate - rate);
    addPin(digest, rate, { pins, upstreamRates, acceptingIds });
  }
  return { pins, belowThresholdSince };
}

function addPin(
  digest: string,
  rate: number,
  state: {
    pins: Map<string, string>;
    upstreamRates: Map<string, number>;
    acceptingIds: ReadonlySet<string>;
  },
): void {
  const target = leastLoaded(state.upstreamRates, state.acceptingIds);
  if (target === undefined) return;
  state.pins.set(digest, target);
  state.upstreamRates.set(
    target,
    (state.upstreamRates.get(target) ?? 0) + rate,
  );
}

function leastLoaded(
  upstreamRates: ReadonlyMap<string, number>,
  acceptingIds: ReadonlySet<string>,
): string | undefined {
  let best: [string, number] | undefined;
  for (const item of upstreamRates) {
    if (!acceptingIds.has(item[0])) continue;
    if (best === undefined || item[1] < best[1]) best = item;
  }
  return best?.[0];
}
