import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { keyDigest } from "../../src/base/key_digest.ts";
import { planPins } from "../../src/shards/plan_pins.ts";
import { planShards } from "../../src/shards/plan_shards.ts";
import { shardOf } from "../../src/shards/shard_of.ts";
import { HotKeyTracker } from "../../src/upstreams/hot_key_tracker.ts";
import { RateMeter } from "../../src/upstreams/rate_meter.ts";
import type { Bench } from "./bench.ts";
import { emptyReport } from "./empty_report.ts";
import { HashRing } from "./hash_ring.ts";
import { median } from "./median.ts";
import { pushFigures } from "./push_figures.ts";

const SERVICE = "usage";
const SHARDS = 512;
const UPSTREAM_COUNT = 12;
const KEY_COUNT = 20_000;
const RATE_PER_S = 2000;
const ZIPF_EXPONENT = 0.9;
const KEY_CHANGE_INTERVAL_MS = 150_000;
const KEY_CHANGE_COUNT = 2;
const PLAN_INTERVAL_MS = 300;
const WINDOW_MS = 10_000;
const MAX_UNIFORM_IMBALANCE = 1.15;
const MAX_LAST_PIN_S = 120;
// A window up to this multiple of the steady ratio counts as settled.
const SETTLED_RATIO = 1.05;
// The thresholds of a dispatcher's hot-key reports, see
// src/upstreams/dispatcher.ts.
const HOT_KEY_FRACTION = 0.1;
const HOT_KEY_MIN_PER_S = 1;

// Arm names in the report: "ours" is the assignment of this router.
const ARMS = ["ours", "ours without pins", "consistent hashing"] as const;
type ArmName = typeof ARMS[number];
type Random = ReturnType<typeof xoroshiro128plus>;
/** Assignment of the keys to upstreams by one of the compared methods. */
type Arm = {
  /** Returns the index of the upstream that owns a key. */
  ownerOf: (key: number) => number;
  recordRequest: (key: number) => void;
};
type Setup = {
  digests: readonly string[];
  ids: readonly string[];
  clock: { now: () => number };
};

/**
 * Returns the cumulative Zipf weights of the keys by rank; with exponent 0 all
 * keys have the same weight.
 */
function cumulativeWeights(exponent: number): Float64Array {
  const sums = new Float64Array(KEY_COUNT);
  let sum = 0;
  for (let rank = 0; rank < KEY_COUNT; rank += 1) {
    sum += (rank + 1) ** -exponent;
    sums[rank] = sum;
  }
  return sums;
}

/** Draws a rank with a probability in proportion to its weight. */
function sampleRank(sums: Float64Array, random: Random): number {
  const target = uniformFloat64(random) * (sums[KEY_COUNT - 1] ?? 0);
  let low = 0;
  let high = KEY_COUNT - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((sums[middle] ?? 0) < target) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Returns the key of each rank, in random order. */
function shuffled(random: Random): number[] {
  const order = Array.from({ length: KEY_COUNT }, (_, key) => key);
  for (let index = KEY_COUNT - 1; index > 0; index -= 1) {
    const other = Math.floor(uniformFloat64(random) * (index + 1));
    const swapped = order[index] ?? 0;
    order[index] = order[other] ?? 0;
    order[other] = swapped;
  }
  return order;
}

/**
 * Assigns keys with the coordinator's shard and pin plans, from the hot-key
 * reports that dispatchers would send.
 */
function createShardPlans(setup: Setup): Arm & { plan: () => number } {
  const { digests, ids } = setup;
  const clock = {
    now: setup.clock.now,
    wallTime: () => new Date(0),
    sleep: () => Promise.resolve(),
  };
  const owners = planShards({
    own: Array.from({ length: SHARDS }, (_, shard) => shard),
    owners: Array.from({ length: SHARDS }, () => undefined),
    upstreams: ids.map((id) => ({ id, weight: 1, state: "in" as const })),
  });
  const position = new Map(ids.map((id, index) => [id, index]));
  const ownerByKey = digests.map((digest) =>
    position.get(owners[shardOf(digest, SHARDS)] ?? "") ?? 0
  );
  const keyOf = new Map(digests.map((digest, key) => [digest, key]));
  const pinnedOwners = new Map<number, number>();
  const trackers = ids.map(() => new HotKeyTracker(clock));
  const meters = ids.map(() => new RateMeter(clock));
  let state = {
    pins: new Map<string, string>(),
    belowThresholdSince: new Map<string, number>(),
  };
  const ownerOf = (key: number) =>
    pinnedOwners.get(key) ?? ownerByKey[key] ?? 0;
  return {
    ownerOf,
    recordRequest(key) {
      const owner = ownerOf(key);
      meters[owner]?.add();
      trackers[owner]?.add(digests[key] ?? "");
    },
    plan() {
      const before = state.pins;
      state = planPins({
        pins: before,
        hotKeys: ids.flatMap((id, index) => {
          const pinnedDigests = new Set(
            [...before].filter(([, owner]) => owner === id)
              .map(([digest]) => digest),
          );
          return trackers[index]?.hot(
            HOT_KEY_FRACTION,
            HOT_KEY_MIN_PER_S,
            pinnedDigests,
          ) ??
            [];
        }),
        upstreams: ids.map((id, index) => ({
          id,
          ratePerS: meters[index]?.perSecond() ?? 0,
          usable: true,
          accepting: true,
        })),
        isOwnRegion: () => true,
        ownerOf: (digest) => owners[shardOf(digest, SHARDS)],
        belowThresholdSince: state.belowThresholdSince,
      }, clock.now());
      pinnedOwners.clear();
      for (const [digest, id] of state.pins) {
        pinnedOwners.set(keyOf.get(digest) ?? -1, position.get(id) ?? 0);
      }
      return [...state.pins]
        .filter(([digest, id]) => before.get(digest) !== id).length;
    },
  };
}

function createHashing({ digests, ids }: Setup): Arm {
  const ring = new HashRing(ids);
  const position = new Map(ids.map((id, index) => [id, index]));
  const ownerByKey = digests.map((digest) =>
    position.get(ring.ownerOf(digest)) ?? 0
  );
  return {
    ownerOf: (key) => ownerByKey[key] ?? 0,
    recordRequest: () => undefined,
  };
}

function maxOverMean(counts: readonly number[]): number {
  const sum = counts.reduce((total, count) => total + count, 0);
  return Math.max(...counts) * counts.length / sum;
}

function runOnce(
  opts: { arm: ArmName; exponent: number; seed: number },
): Record<string, number> {
  const random = xoroshiro128plus(opts.seed);
  const sums = cumulativeWeights(opts.exponent);
  let now = 0;
  const setup = {
    digests: Array.from(
      { length: KEY_COUNT },
      (_, key) => keyDigest(SERVICE, `key-${opts.seed}-${key}`),
    ),
    ids: Array.from(
      { length: UPSTREAM_COUNT },
      (_, index) => `upstream-${index}`,
    ),
    clock: { now: () => now },
  };
  const shardPlans = opts.arm === "consistent hashing"
    ? undefined
    : createShardPlans(setup);
  const arm = shardPlans ?? createHashing(setup);
  const steadyRatios: number[] = [];
  const firstWindowRatios: number[] = [];
  const settledTimesS: number[] = [];
  const lastPinTimesS: number[] = [];
  let pinMoves = 0;
  for (let change = 0; change <= KEY_CHANGE_COUNT; change += 1) {
    const order = shuffled(random);
    const start = now;
    let counts = new Array<number>(UPSTREAM_COUNT).fill(0);
    const windowRatios: number[] = [];
    let lastPinS = 0;
    let windowEnd = start + WINDOW_MS;
    while (now < start + KEY_CHANGE_INTERVAL_MS) {
      const requests = RATE_PER_S * PLAN_INTERVAL_MS / 1000;
      for (let index = 0; index < requests; index += 1) {
        now += 1000 / RATE_PER_S;
        const key = order[sampleRank(sums, random)] ?? 0;
        const owner = arm.ownerOf(key);
        counts[owner] = (counts[owner] ?? 0) + 1;
        arm.recordRequest(key);
      }
      const moves = opts.arm === "ours" ? shardPlans?.plan() ?? 0 : 0;
      if (moves > 0) lastPinS = (now - start) / 1000;
      pinMoves += moves;
      if (now >= windowEnd) {
        windowRatios.push(maxOverMean(counts));
        counts = new Array<number>(UPSTREAM_COUNT).fill(0);
        windowEnd += WINDOW_MS;
      }
    }
    lastPinTimesS.push(lastPinS);
    // The steady ratio is the median of the second half of the windows.
    const halfCount = Math.floor(windowRatios.length / 2);
    const steadyRatio = median(windowRatios.slice(halfCount));
    steadyRatios.push(steadyRatio);
    firstWindowRatios.push(windowRatios[0] ?? NaN);
    const last = windowRatios.findLastIndex((value, index) =>
      index < halfCount && value > steadyRatio * SETTLED_RATIO
    );
    settledTimesS.push((last + 1) * WINDOW_MS / 1000);
  }
  return {
    maxOverMean: Math.max(...steadyRatios),
    maxOverMeanFirstWindow: Math.max(...firstWindowRatios),
    settledAfterS: Math.max(...settledTimesS),
    lastPinAfterS: Math.max(...lastPinTimesS),
    pinMoves,
  };
}

/** Measures the load of the most loaded upstream relative to the mean. */
export const imbalanceBench: Bench = {
  name: "imbalance",
  summary: "maximum over mean load, uniform and Zipf keys that change",
  run({ seed, repetitions }) {
    const report = emptyReport({
      name: "imbalance",
      seed,
      notes: [
        `${KEY_COUNT} keys, ${UPSTREAM_COUNT} upstreams, ${SHARDS} shards, ` +
        `${RATE_PER_S} requests/s, windows of ${WINDOW_MS / 1000} s`,
        `Zipf exponent ${ZIPF_EXPONENT}; every ${
          KEY_CHANGE_INTERVAL_MS / 1000
        } s all ` +
        "ranks go to other keys",
        "decision modules on a moved clock; moves take effect at once",
      ],
    });
    for (let index = 0; index < repetitions; index += 1) {
      for (const arm of ARMS) {
        for (
          const [load, exponent] of [
            ["uniform", 0],
            ["Zipf", ZIPF_EXPONENT],
          ] as const
        ) {
          pushFigures(
            report.arms,
            `${arm}, ${load}`,
            runOnce({ arm, exponent, seed: seed + index }),
          );
        }
      }
    }
    const uniform = Math.max(
      ...report.arms["ours, uniform"]?.maxOverMean ?? [],
    );
    const moved = Math.max(...report.arms["ours, Zipf"]?.lastPinAfterS ?? []);
    report.bounds.push({
      figure: "maximum over mean, uniform keys",
      bound: `at most ${MAX_UNIFORM_IMBALANCE}, worst ${uniform.toFixed(3)}`,
      ok: uniform <= MAX_UNIFORM_IMBALANCE,
    }, {
      figure: "last new pin after hot keys changed",
      bound: `at most ${MAX_LAST_PIN_S} s, worst ${moved} s`,
      ok: moved <= MAX_LAST_PIN_S,
    });
    return Promise.resolve(report);
  },
};
