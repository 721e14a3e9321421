type HotKey = { digest: string; ratePerS: number };
type PinTarget = {
  id: string;
  /** Requests a second. */
  ratePerS: number;
  /** May keep the keys that are pinned to it. */
  usable: boolean;
  /** May receive further keys. */
  accepting: boolean;
};

const PIN_ABOVE_PART = 1 / 4;
const UNPIN_BELOW_PART = PIN_ABOVE_PART / 2;
const UNPIN_AFTER_MS = 60_000;
const MAX_PINS = 4096;
// On an idle service every key is a large part of the mean. A rate is an
// estimate over some seconds, and one or two requests look like 1/s.
const MIN_PIN_RATE_PER_S = 5;
// A move costs the callers of the key a pause. It is worth that only if the
// owner carries clearly more than the others.
const OWNER_ABOVE_MEAN = 1.25;

/**
 * Chooses which hot keys are assigned individually, and where.
 *
 * @param input - `pins` the present upstream of each pinned digest; `hotKeys`
 * as reported; `isOwn` whether the region owns a digest's shard; `ownerOf` the
 * upstream that owns an unpinned digest through its shard, undefined if the
 * shard is not owned by the region or between two owners; `coolSince` since when each
 * pinned digest has been below the threshold, as returned by the last call
 * @param now - monotonic milliseconds
 * @returns the wanted pins and the new `coolSince`
 */
export function planPins(
  input: {
    pins: ReadonlyMap<string, string>;
    hotKeys: readonly HotKey[];
    upstreams: readonly PinTarget[];
    isOwn: (digest: string) => boolean;
    ownerOf: (digest: string) => string | undefined;
    coolSince: ReadonlyMap<string, number>;
  },
  now: number,
): { pins: Map<string, string>; coolSince: Map<string, number> } {
  const usable = input.upstreams.filter((upstream) => upstream.usable);
  const keeping = new Set(usable.map((upstream) => upstream.id));
  const mean = usable.reduce((sum, upstream) => sum + upstream.ratePerS, 0) /
    Math.max(1, usable.length);
  const loads = new Map(
    usable.map((upstream) => [upstream.id, upstream.ratePerS]),
  );
  const accepting = new Set(
    usable.filter((item) => item.accepting).map((item) => item.id),
  );
  const rates = new Map<string, number>();
  for (const key of input.hotKeys) {
    rates.set(key.digest, (rates.get(key.digest) ?? 0) + key.ratePerS);
  }

  const pins = new Map<string, string>();
  const coolSince = new Map<string, number>();
  for (const [digest, upstream] of input.pins) {
    const rate = rates.get(digest) ?? 0;
    const since = rate < mean * UNPIN_BELOW_PART || rate === 0
      ? input.coolSince.get(digest) ?? now
      : undefined;
    if (since !== undefined) coolSince.set(digest, since);
    const cool = since !== undefined && now - since >= UNPIN_AFTER_MS;
    if (cool || !input.isOwn(digest)) {
      coolSince.delete(digest);
      continue;
    }
    // A key whose upstream is gone is pinned again only while it is hot.
    if (keeping.has(upstream)) pins.set(digest, upstream);
    else if (since === undefined) {
      addPin(digest, rate, { pins, loads, accepting });
    }
  }

  const hottest = [...rates].sort((a, b) => b[1] - a[1]);
  for (const [digest, rate] of hottest) {
    if (rate <= mean * PIN_ABOVE_PART || rate < MIN_PIN_RATE_PER_S) break;
    if (pins.size >= MAX_PINS) break;
    if (input.pins.has(digest) || pins.has(digest)) continue;
    const owner = input.ownerOf(digest);
    if (owner === undefined) continue;
    const target = leastLoaded(loads, accepting);
    // At its present owner the key gains nothing by a pin.
    if (target === undefined || target === owner) continue;
    // Moving the key must not make the target the more loaded one.
    const before = loads.get(owner) ?? Infinity;
    if ((loads.get(target) ?? 0) + rate > before) continue;
    if (before < mean * OWNER_ABOVE_MEAN) continue;
    loads.set(owner, before - rate);
    addPin(digest, rate, { pins, loads, accepting });
  }
  return { pins, coolSince };
}

function addPin(
  digest: string,
  rate: number,
  state: {
    pins: Map<string, string>;
    loads: Map<string, number>;
    accepting: ReadonlySet<string>;
  },
): void {
  const target = leastLoaded(state.loads, state.accepting);
  if (target === undefined) return;
  state.pins.set(digest, target);
  state.loads.set(target, (state.loads.get(target) ?? 0) + rate);
}

function leastLoaded(
  loads: ReadonlyMap<string, number>,
  accepting: ReadonlySet<string>,
): string | undefined {
  let best: [string, number] | undefined;
  for (const item of loads) {
    if (!accepting.has(item[0])) continue;
    if (best === undefined || item[1] < best[1]) best = item;
  }
  return best?.[0];
}
