import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { WarmUpRateLimiter } from "../../src/direct/warm_up_rate_limiter.ts";

const BOUND_FACTOR = 1.5;
const BOUND_SLACK = 5;
const STEP_MS = 10;
const WINDOW_MS = 1000;

describe("WarmUpRateLimiter", () => {
  // Every VM always has requests for a cold upstream, and all VMs learn at the
  // same moment that it is cold. Guards against first requests of all VMs that
  // arrive together and exceed the limit.
  for (const [vms, perS] of [[11, 3.6], [12, 3.1], [90, 3.1]] as const) {
    it(`${vms} VMs keep within ${perS}/s from the first request on`, () => {
      const limiters = Array.from(
        { length: vms },
        () => new WarmUpRateLimiter(),
      );
      for (const limiter of limiters) limiter.setColdUntil(3000, 0);
      const sent: number[] = [];
      for (let now = 0; now < 3000; now += STEP_MS) {
        for (const limiter of limiters) {
          if (limiter.msToSend({ perS, vms }, now) > 0) continue;
          limiter.onSent(now);
          sent.push(now);
        }
      }
      assert.ok(sent.length > 0);
      for (const at of sent) {
        const window = sent.filter((one) => one >= at && one < at + WINDOW_MS);
        assert.ok(
          window.length <= perS * BOUND_FACTOR + BOUND_SLACK,
          `${window.length} requests from ${at} ms on`,
        );
      }
    });
  }

  it("does not limit requests to a warm upstream", () => {
    const limiter = new WarmUpRateLimiter();
    limiter.setColdUntil(0, 0);
    limiter.onSent(0);
    assert.equal(limiter.msToSend({ perS: 1, vms: 10 }, 1), 0);
  });
});
