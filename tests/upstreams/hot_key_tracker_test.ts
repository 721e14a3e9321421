import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { HotKeyTracker } from "../../src/upstreams/hot_key_tracker.ts";
import { ManualClock } from "../support/manual_clock.ts";

const NONE = new Set<string>();

// Guards against a hot key that is not found among many others, and against
// rare keys that count as hot because they took over a counter.
test("finds one hot key among 5000 others", async () => {
  const clock = new ManualClock();
  const tracker = new HotKeyTracker(clock);
  for (let second = 0; second < 30; second++) {
    for (let nth = 0; nth < 100; nth++) {
      tracker.add(nth % 4 === 0 ? "hot" : `cold${(second * 100 + nth) % 5000}`);
    }
    await clock.advance(1000);
  }
  const [hot, ...others] = tracker.hot(0.1, 1, NONE);
  assert.deepEqual(others, []);
  assert.equal(hot?.digest, "hot");
  assert.ok(hot.ratePerS > 20 && hot.ratePerS < 28, `${hot.ratePerS}/s`);
});

// Guards against keys that stay hot forever, and against weights that overflow
// after a long time.
test("a key without requests is no longer hot, also after a long pause", async () => {
  const clock = new ManualClock();
  const tracker = new HotKeyTracker(clock);
  for (let nth = 0; nth < 1000; nth++) tracker.add("old");
  for (const pause of [60_000, 10_000_000]) {
    await clock.advance(pause);
    assert.deepEqual(tracker.hot(0.1, 1, NONE), []);
  }
  for (let nth = 0; nth < 100; nth++) tracker.add("new");
  const digests = tracker.hot(0.1, 1, NONE).map(({ digest }) => digest);
  assert.deepEqual(digests, ["new"]);
  const pinned = tracker.hot(0.1, 1, new Set(["old"]));
  assert.equal(pinned.length, 2);
});

// Guards against overestimated rates, which would pin a key needlessly.
test("a reported rate never exceeds the actual rate", () => {
  fc.assert(fc.property(
    fc.array(fc.integer({ min: 0, max: 200 }), { maxLength: 2000 }),
    (keys) => {
      const tracker = new HotKeyTracker(new ManualClock());
      const counts = new Map<string, number>();
      for (const key of keys.map(String)) {
        tracker.add(key);
        counts.set(key, (counts.get(key) ?? 0) + 1);
      }
      const seen = (1 - Math.exp(-1000 / 5000)) * 5;
      for (const { digest, ratePerS } of tracker.hot(0, 0, NONE)) {
        const most = (counts.get(digest) ?? 0) / seen;
        assert.ok(ratePerS <= most + 1e-9);
      }
    },
  ));
});
