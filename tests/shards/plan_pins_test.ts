import assert from "node:assert/strict";
import { test } from "node:test";
import { planPins } from "../../src/shards/plan_pins.ts";

const upstreams = [
  { id: "a", ratePerS: 200, usable: true, accepting: true },
  { id: "b", ratePerS: 100, usable: true, accepting: true },
  { id: "c", ratePerS: 60, usable: true, accepting: true },
];
// The mean is 120/s: keys are pinned above 30/s and unpinned below 15/s.
const cases: {
  name: string;
  pins?: [string, string][];
  hot?: [string, number][];
  belowThresholdSince?: [string, number][];
  lostUpstream?: string;
  expected: [string, string][];
}[] = [
  { name: "a hot key is pinned", hot: [["k", 31]], expected: [["k", "c"]] },
  {
    name: "a key at the threshold is not pinned",
    hot: [["k", 30]],
    expected: [],
  },
  {
    name:
      "a key that would give the target more load than the owner is not pinned",
    hot: [["k", 150]],
    expected: [],
  },
  {
    name: "a pinned key above the unpinning threshold stays where it is",
    pins: [["k", "a"]],
    hot: [["k", 16]],
    belowThresholdSince: [["k", 0]],
    expected: [["k", "a"]],
  },
  {
    name: "a key below the threshold for less than 60 s stays pinned",
    pins: [["k", "a"]],
    belowThresholdSince: [["k", 40_001]],
    expected: [["k", "a"]],
  },
  {
    name: "a key below the threshold for 60 s is unpinned",
    pins: [["k", "a"]],
    hot: [["k", 14]],
    belowThresholdSince: [["k", 40_000]],
    expected: [],
  },
  {
    name: "a hot key of a lost upstream is pinned to another upstream",
    pins: [["k", "c"]],
    hot: [["k", 40]],
    lostUpstream: "c",
    expected: [["k", "b"]],
  },
  {
    name: "a key of a lost upstream that is no longer hot returns to its shard",
    pins: [["k", "c"]],
    lostUpstream: "c",
    expected: [],
  },
  {
    name: "a key of another region is not pinned",
    hot: [["elsewhere", 50]],
    expected: [],
  },
  {
    name: "a pinned key that another region now owns is unpinned",
    pins: [["elsewhere", "a"]],
    hot: [["elsewhere", 50]],
    expected: [],
  },
  {
    name: "a pinned key stays pinned while its shard has no owner",
    pins: [["ownerless", "a"]],
    hot: [["ownerless", 16]],
    expected: [["ownerless", "a"]],
  },
];

for (
  const { name, pins, hot, belowThresholdSince, lostUpstream, expected }
    of cases
) {
  test(`pins: ${name}`, () => {
    const result = planPins({
      pins: new Map(pins ?? []),
      hotKeys: (hot ?? []).map(([digest, ratePerS]) => ({ digest, ratePerS })),
      upstreams: upstreams.map((upstream) => ({
        ...upstream,
        usable: upstream.id !== lostUpstream,
      })),
      isOwnRegion: (digest) => digest !== "elsewhere",
      ownerOf: (digest) => digest === "k" ? "a" : undefined,
      belowThresholdSince: new Map(belowThresholdSince ?? []),
    }, 100_000);
    assert.deepEqual([...result.pins], expected);
  });
}

test("at most 4,096 keys are pinned", () => {
  const pins = new Map<string, string>();
  for (let index = 0; index < 4096; index++) pins.set(`k${index}`, "a");
  const result = planPins({
    pins,
    hotKeys: [{ digest: "new", ratePerS: 50 }],
    upstreams,
    isOwnRegion: () => true,
    ownerOf: () => "a",
    belowThresholdSince: new Map(),
  }, 0);
  assert.equal(result.pins.size, 4096);
});

// Guards against needless moves: on a service with almost no load, keys that
// are requested once each count as hot, and all of them are moved.
for (
  const scenario of [
    { name: "four keys that were requested once", loads: [2, 2], perKey: 1 },
    { name: "busy keys under an even load", loads: [100, 95], perKey: 40 },
  ]
) {
  test(`${scenario.name} stay with their owners`, () => {
    const result = planPins({
      pins: new Map(),
      hotKeys: ["k1", "k2", "k3", "k4"].map((digest) => ({
        digest,
        ratePerS: scenario.perKey,
      })),
      upstreams: scenario.loads.map((ratePerS, index) => ({
        id: `u-${index}`,
        ratePerS,
        usable: true,
        accepting: true,
      })),
      isOwnRegion: () => true,
      ownerOf: () => "u-0",
      belowThresholdSince: new Map(),
    }, 100_000);
    assert.deepEqual([...result.pins], []);
  });
}
