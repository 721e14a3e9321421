import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LoadEstimate } from "../../src/direct/load_estimate.ts";

const WORK_MS = 100;

function estimateAfter(
  slowdowns: readonly number[],
  now: number,
): LoadEstimate {
  const load = new LoadEstimate(2);
  for (const slowdown of slowdowns) {
    load.onReport({ running: 0, waiting: 0, slots: 2, slowdown }, now);
  }
  return load;
}

describe("LoadEstimate", () => {
  // Upstreams differ in speed, and their hosts slow down for some hundred
  // milliseconds at a time. Guards against an estimate that loses an upstream's
  // speed between answers, so that slow upstreams get as many requests as fast
  // ones.
  it("keeps an upstream's own speed between reports", () => {
    const fast = estimateAfter([0.6, 0.6, 1.8, 0.6, 0.6], 0);
    const slow = estimateAfter([1.4, 1.4, 1.4, 4.2, 1.4], 0);
    for (const now of [1000, 10_000]) {
      assert.ok(Math.abs(fast.expectedTimes(WORK_MS, now).runMs - 60) < 10);
      assert.ok(Math.abs(slow.expectedTimes(WORK_MS, now).runMs - 140) < 20);
    }
  });

  it("discounts a reported slowdown after a short time", () => {
    const load = estimateAfter([1, 1, 1, 1, 3], 0);
    assert.ok(load.expectedTimes(WORK_MS, 10).runMs > 250);
    assert.ok(load.expectedTimes(WORK_MS, 1500).runMs < 120);
  });

  it("expects a wait when all slots are in use", () => {
    const load = new LoadEstimate(2);
    assert.equal(load.expectedTimes(WORK_MS, 0).waitMs, 0);
    for (let sent = 0; sent < 4; sent++) load.onSent();
    assert.equal(load.expectedTimes(WORK_MS, 0).waitMs, 150);
  });

  it("counts reported requests of other VMs with decaying weight", () => {
    const load = new LoadEstimate(2);
    load.onSent();
    load.onReport({ running: 2, waiting: 4, slots: 2, slowdown: 1 }, 0);
    assert.equal(load.requestCount(0), 7);
    assert.ok(load.requestCount(3000) < 2);
    assert.ok(load.requestCount(20_000) < 1.1);
  });

  it("expects a queue at an upstream that rejected a connection", () => {
    const load = new LoadEstimate(2);
    load.onConnectionRejected(0);
    assert.ok(load.expectedTimes(WORK_MS, 10).waitMs > WORK_MS);
    assert.equal(load.expectedTimes(WORK_MS, 20_000).waitMs, 0);
  });

  // An upstream becomes slow without reporting it, and requests to it end at
  // their deadline. Guards against an upstream that keeps getting its share.
  it("raises the expected time after requests without an answer", () => {
    const load = estimateAfter([1, 1, 1], 0);
    for (let lost = 0; lost < 3; lost++) load.onWorkTimed(20, 100);
    assert.ok(load.expectedTimes(WORK_MS, 200).runMs > 3 * WORK_MS);
  });
});
