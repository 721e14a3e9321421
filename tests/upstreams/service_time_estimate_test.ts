import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ServiceTimeEstimate } from "../../src/upstreams/service_time_estimate.ts";
import { ManualClock } from "../support/manual_clock.ts";

// Guards against a sorted list of samples that loses or keeps the wrong one.
test("median and p99 are those of the last 128 service times", () => {
  fc.assert(fc.property(
    fc.array(fc.integer({ min: 0, max: 50 }), { minLength: 1, maxLength: 400 }),
    (times) => {
      const estimate = new ServiceTimeEstimate(new ManualClock());
      for (const ms of times) estimate.add(ms);
      const sorted = times.slice(-128).sort((a, b) => a - b);
      const last = sorted.length - 1;
      assert.equal(estimate.median(), sorted[Math.round(last * 0.5)]);
      assert.equal(estimate.p99(), sorted[Math.round(last * 0.99)]);
    },
  ));
});

// Guards against estimates from samples that are older than 10 s.
test("drops service times after 10 s", async () => {
  const clock = new ManualClock();
  const estimate = new ServiceTimeEstimate(clock);
  estimate.add(900);
  await clock.advance(10_001);
  estimate.add(10);
  assert.equal(estimate.p99(), 10);
  await clock.advance(10_001);
  assert.equal(estimate.median(), 0);
});
