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
const UPSTREAMS = 12;
const KEYS = 20_000;
const RATE_PER_S = 2000;
const ZIPF_EXPONENT = 0.9;
const CHANGE_MS = 150_000;
const CHANGES = 2;
const STEP_MS = 300;
const WINDOW_MS = 10_000;
const BOUND_UNIFORM = 1.15;
const BOUND_MOVED_S = 120;
const SETTLED_WITHIN = 1.05;
// As the dispatcher reports them, see src/upstreams/dispatcher.ts.
const HOT_KEY_SHARE = 0.1;
const HOT_KEY_MIN_PER_S = 1;

const ARMS = ["ours", "ours without pins", "consistent hashing"] as const;
type ArmName = typeof ARMS[number];
type Random = ReturnType<typeof xoroshiro128plus>;
type Arm = { ownerOf: (key: number) => number; served: (key: number) => void };
type Setup = {
  digests: readonly string[];
  ids: readonly string[];
  clock: { now: () => number };
};

/** Sums of the weights of keys in the order of their rank. */
function weightSums(exponent: number): Float64Array {
  const sums = new Float64Array(KEYS);
  let sum = 0;
  for (let rank = 0; rank < KEYS; rank += 1) {
    sum += (rank + 1) ** -exponent;
    sums[rank] = sum;
  }
  return sums;
}

function pickRank(sums: Float64Array, random: Random): number {
  const wanted = uniformFloat64(random) * (sums[KEYS - 1] ?? 0);
  let low = 0;
  let high = KEYS - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((sums[middle] ?? 0) < wanted) low = middle + 1;
    else high = middle;
  }
  return low;
}

function shuffled(random: Random): number[] {
  const order = Array.from({ length: KEYS }, (_, key) => key);
  for (let index = KEYS - 1; index > 0; index -= 1) {
    const other = Math.floor(uniformFloat64(random) * (index + 1));
    const moved = order[index] ?? 0;
    order[index] = order[other] ?? 0;
    order[other] = moved;
  }
  return order;
}

/** The shard and pin plans with the reports that dispatchers would send. */
function ours(setup: Setup): Arm & { plan: () => number } {
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
  const byKey = digests.map((digest) =>
    position.get(owners[shardOf(digest, SHARDS)] ?? "") ?? 0
  );
  const keyOf = new Map(digests.map((digest, key) => [digest, key]));
  const pinned = new Map<number, number>();
  const trackers = ids.map(() => new HotKeyTracker(clock));
  const meters = ids.map(() => new RateMeter(clock));
  let state = {
    pins: new Map<string, string>(),
    belowThresholdSince: new Map<string, number>(),
  };
  const ownerOf = (key: number) => pinned.get(key) ?? byKey[key] ?? 0;
  return {
    ownerOf,
    served(key) {
      const owner = ownerOf(key);
      meters[owner]?.add();
      trackers[owner]?.add(digests[key] ?? "");
    },
    plan() {
      const before = state.pins;
      state = planPins({
        pins: before,
        hotKeys: ids.flatMap((id, index) => {
          const own = new Set(
            [...before].filter(([, owner]) => owner === id)
              .map(([digest]) => digest),
          );
          return trackers[index]?.hot(HOT_KEY_SHARE, HOT_KEY_MIN_PER_S, own) ??
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
      pinned.clear();
      for (const [digest, id] of state.pins) {
        pinned.set(keyOf.get(digest) ?? -1, position.get(id) ?? 0);
      }
      return [...state.pins]
        .filter(([digest, id]) => before.get(digest) !== id).length;
    },
  };
}

function hashing({ digests, ids }: Setup): Arm {
  const ring = new HashRing(ids);
  const position = new Map(ids.map((id, index) => [id, index]));
  const byKey = digests.map((digest) =>
    position.get(ring.ownerOf(digest)) ?? 0
  );
  return { ownerOf: (key) => byKey[key] ?? 0, served: () => undefined };
}

function maxOverMean(counts: readonly number[]): number {
  const sum = counts.reduce((total, count) => total + count, 0);
  return Math.max(...counts) * counts.length / sum;
}

function runOnce(
  opts: { arm: ArmName; exponent: number; seed: number },
): Record<string, number> {
  const random = xoroshiro128plus(opts.seed);
  const sums = weightSums(opts.exponent);
  let now = 0;
  const setup = {
    digests: Array.from(
      { length: KEYS },
      (_, key) => keyDigest(SERVICE, `key-${opts.seed}-${key}`),
    ),
    ids: Array.from({ length: UPSTREAMS }, (_, index) => `upstream-${index}`),
    clock: { now: () => now },
  };
  const planned = opts.arm === "consistent hashing" ? undefined : ours(setup);
  const arm = planned ?? hashing(setup);
  const steady: number[] = [];
  const unmoved: number[] = [];
  const movedS: number[] = [];
  const pinnedS: number[] = [];
  let pinsMade = 0;
  for (let change = 0; change <= CHANGES; change += 1) {
    const order = shuffled(random);
    const start = now;
    let counts = new Array<number>(UPSTREAMS).fill(0);
    const windows: number[] = [];
    let lastPinS = 0;
    let windowEnd = start + WINDOW_MS;
    while (now < start + CHANGE_MS) {
      const requests = RATE_PER_S * STEP_MS / 1000;
      for (let index = 0; index < requests; index += 1) {
        now += 1000 / RATE_PER_S;
        const key = order[pickRank(sums, random)] ?? 0;
        const owner = arm.ownerOf(key);
        counts[owner] = (counts[owner] ?? 0) + 1;
        arm.served(key);
      }
      const moves = opts.arm === "ours" ? planned?.plan() ?? 0 : 0;
      if (moves > 0) lastPinS = (now - start) / 1000;
      pinsMade += moves;
      if (now >= windowEnd) {
        windows.push(maxOverMean(counts));
        counts = new Array<number>(UPSTREAMS).fill(0);
        windowEnd += WINDOW_MS;
      }
    }
    pinnedS.push(lastPinS);
    const half = Math.floor(windows.length / 2);
    const level = median(windows.slice(half));
    steady.push(level);
    unmoved.push(windows[0] ?? NaN);
    const last = windows.findLastIndex((value, index) =>
      index < half && value > level * SETTLED_WITHIN
    );
    movedS.push((last + 1) * WINDOW_MS / 1000);
  }
  return {
    maxOverMean: Math.max(...steady),
    maxOverMeanFirstWindow: Math.max(...unmoved),
    settledAfterS: Math.max(...movedS),
    lastPinAfterS: Math.max(...pinnedS),
    pinMoves: pinsMade,
  };
}

/** Load of the most loaded upstream over the mean. */
export const imbalanceBench: Bench = {
  name: "imbalance",
  summary: "maximum over mean load, uniform and Zipf keys that change",
  run({ seed, repetitions }) {
    const report = emptyReport({
      name: "imbalance",
      seed,
      notes: [
        `${KEYS} keys, ${UPSTREAMS} upstreams, ${SHARDS} shards, ` +
        `${RATE_PER_S} requests/s, windows of ${WINDOW_MS / 1000} s`,
        `Zipf exponent ${ZIPF_EXPONENT}; every ${CHANGE_MS / 1000} s all ` +
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
      bound: `at most ${BOUND_UNIFORM}, worst ${uniform.toFixed(3)}`,
      ok: uniform <= BOUND_UNIFORM,
    }, {
      figure: "last new pin after hot keys changed",
      bound: `at most ${BOUND_MOVED_S} s, worst ${moved} s`,
      ok: moved <= BOUND_MOVED_S,
    });
    return Promise.resolve(report);
  },
};
