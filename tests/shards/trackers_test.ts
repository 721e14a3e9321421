import assert from "node:assert/strict";
import { test } from "node:test";
import { StragglerTracker } from "../../src/shards/straggler_tracker.ts";
import { WarmUpTracker } from "../../src/shards/warm_up_tracker.ts";

// Guards against a slow upstream that keeps its full load, against a weight
// that drops at a short pause, and against full load right after a recovery.
test("a slow upstream loses weight after 1 s and regains it in steps", () => {
  const tracker = new StragglerTracker();
  const weightAt = (now: number, serviceMs: number) =>
    tracker.weights([
      { id: "a", serviceMs: 10 },
      { id: "b", serviceMs: 10 },
      { id: "c", serviceMs: 10 },
      { id: "slow", serviceMs },
    ], now).get("slow")!;
  const steps: [number, number, number][] = [
    [0, 40, 1],
    [900, 40, 1],
    [1000, 40, 0.25],
    [2000, 38, 0.25],
    [3000, 10, 0.25],
    [6900, 10, 0.25],
    [7000, 10, 0.375],
    [12_000, 10, 0.5625],
    [17_000, 10, 0.84375],
    [22_000, 10, 1],
    [23_000, 29, 1],
    [30_000, 29, 1],
  ];
  for (const [now, serviceMs, weight] of steps) {
    assert.equal(weightAt(now, serviceMs), weight, `at ${now}`);
  }
});

test("no upstream counts as slow if only two are measured", () => {
  const tracker = new StragglerTracker();
  const upstreams = [{ id: "a", serviceMs: 1 }, { id: "b", serviceMs: 90 }];
  tracker.weights(upstreams, 0);
  assert.equal(tracker.weights(upstreams, 5000).get("b"), 1);
});

// Guards against a cold upstream that is overloaded because it gets all of its
// shards at once.
test("an upstream that starts receives its shards in steps", () => {
  const tracker = new WarmUpTracker();
  const capAt = (
    now: number,
    state: "cold" | "warm" | "lost" | undefined,
    count: number,
  ) =>
    tracker.caps({
      upstreams: [
        { id: "a", state: "warm", out: false, count: 40 },
        { id: "b", state, out: false, count },
      ],
      own: 64,
      ratePerS: 0,
      coldStart: { ratePerS: 10, rampMs: 1000 },
    }, now);
  const steps: [
    number,
    "cold" | "warm" | "lost" | undefined,
    number,
    number | undefined,
  ][] = [
    [0, undefined, 0, 0],
    [100, "cold", 0, 4],
    [5000, "cold", 4, 4],
    [6000, "warm", 4, 4],
    [7000, "warm", 4, 8],
    [8000, "warm", 8, 16],
    [9000, "warm", 16, 32],
    [10_000, "warm", 32, undefined],
    [11_000, "cold", 32, 32],
    [12_000, "lost", 32, undefined],
    [13_000, "warm", 0, 4],
  ];
  for (const [now, state, count, cap] of steps) {
    const caps = capAt(now, state, count);
    assert.equal(caps.get("a"), undefined);
    assert.equal(caps.get("b"), cap, `at ${now}`);
  }
});

test("the first step does not exceed the cold-start request rate", () => {
  const caps = new WarmUpTracker().caps({
    upstreams: [
      { id: "a", state: "warm", out: false, count: 64 },
      { id: "b", state: "cold", out: false, count: 0 },
    ],
    own: 64,
    ratePerS: 320,
    coldStart: { ratePerS: 10, rampMs: 1000 },
  }, 0);
  assert.equal(caps.get("b"), 2);
});
