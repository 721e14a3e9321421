import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ShareHolder } from "../../src/limits/share_holder.ts";
import { ManualClock } from "../support/manual_clock.ts";

const neverAborted = () => new AbortController().signal;

function setUp(onEnded: (code: string) => void = () => undefined) {
  const clock = new ManualClock();
  const holder = new ShareHolder(clock, neverAborted());
  const log: { at: number; code: string }[] = [];
  const releases: (() => void)[] = [];
  const request = (until = Number.POSITIVE_INFINITY, signal = neverAborted()) =>
    void holder.admit("e", { until, signal }).then((result) => {
      const code = result.isOk() ? "admitted" : result.error.code;
      log.push({ at: clock.now(), code });
      onEnded(code);
      if (result.isOk()) releases.push(result.value.release);
    });
  return { clock, holder, log, releases, request };
}

test("admits at most the share's rate plus the burst in every window", async () => {
  const step = fc.record({
    rate: fc.constantFrom(0, 0.5, 3, 10, 40, 200),
    ttl: fc.integer({ min: 0, max: 400 }),
    requests: fc.integer({ min: 0, max: 30 }),
    pause: fc.integer({ min: 0, max: 300 }),
    renew: fc.boolean(),
  });
  const steps = fc.array(step, { minLength: 1, maxLength: 15 });
  await fc.assert(
    fc.asyncProperty(steps, async (plan) => {
      // Rate of the valid share over time.
      const shares: { from: number; to: number; rate: number }[] = [];
      // Admitted requests with the share of that moment: a request and a new
      // share may fall on the same millisecond.
      const admitted: { at: number; rate: number }[] = [];
      const unleased: number[] = [];
      const { clock, holder, request } = setUp((code) => {
        if (code !== "admitted") return;
        const at = clock.now();
        const share = shares.at(-1)!;
        if (at >= share.to && at !== share.from) unleased.push(at);
        admitted.push({ at, rate: share.rate });
      });
      for (const { rate, ttl, requests, pause, renew } of plan) {
        if (renew) {
          const now = clock.now();
          const last = shares.at(-1);
          if (last !== undefined) last.to = Math.min(last.to, now);
          shares.push({ from: now, to: now + ttl, rate });
          holder.apply(
            [{ entry: "e", ratePerS: rate, concurrency: 10_000 }],
            now + ttl,
          );
        }
        for (let i = 0; i < requests; i++) request();
        await clock.advance(pause);
      }
      await clock.advance(600);
      assert.deepEqual(unleased, [], "admitted without a lease");
      for (const [i, { at: from, rate }] of admitted.entries()) {
        const burst = Math.max(1, rate / 10);
        for (const [j, { at: to }] of admitted.entries()) {
          if (j < i) continue;
          const earned = shares.reduce((sum, s) => {
            const ms = Math.min(s.to, to) - Math.max(s.from, from);
            return sum + Math.max(0, ms) * s.rate / 1000;
          }, 0);
          assert.ok(j - i + 1 <= earned + burst + 1e-6);
        }
      }
    }),
    { numRuns: 60 },
  );
});

test("requests wait in order for a share, a token or a slot", async (t) => {
  const share = (ratePerS: number, concurrency: number) => [
    { entry: "e", ratePerS, concurrency },
  ];
  await t.test("refuses a request after 500 ms without a share", async () => {
    const { clock, log, request } = setUp();
    request();
    await clock.advance(499);
    assert.deepEqual(log, []);
    await clock.advance(1);
    assert.deepEqual(log, [{ at: 500, code: "limit_exceeded" }]);
  });
  await t.test("admits a waiting request when a share arrives within 500 ms", async () => {
    const { clock, holder, log, request } = setUp();
    request();
    await clock.advance(300);
    holder.apply(share(10, 1), 2000);
    await clock.advance(0);
    assert.deepEqual(log, [{ at: 300, code: "admitted" }]);
  });
  await t.test("a larger share admits before the smaller share's next token", async () => {
    const { clock, holder, log, request } = setUp();
    holder.apply(share(1, 9), 2000);
    request();
    request();
    await clock.advance(10);
    assert.equal(log.length, 1);
    holder.apply(share(100, 9), 2000);
    await clock.advance(10);
    assert.equal(log.length, 2);
  });
  await t.test("refuses a request at its deadline if that is earlier", async () => {
    const { clock, log, request } = setUp();
    request(50);
    await clock.advance(60);
    assert.deepEqual(log, [{ at: 50, code: "limit_exceeded" }]);
  });
  await t.test("removes the request of a disconnected caller from the queue", async () => {
    const { clock, holder, log, request } = setUp();
    const disconnected = new AbortController();
    request(1000, disconnected.signal);
    request(1000);
    disconnected.abort();
    holder.apply(share(10, 1), 2000);
    await clock.advance(0);
    assert.deepEqual(log.map((one) => one.code), [
      "limit_exceeded",
      "admitted",
    ]);
  });
  await t.test("frees the slot of a request that has ended, once", async () => {
    const { clock, holder, log, releases, request } = setUp();
    holder.apply(share(1000, 2), 2000);
    for (let i = 0; i < 3; i++) request();
    await clock.advance(100);
    assert.equal(log.length, 2);
    releases[0]!();
    releases[0]!();
    request();
    await clock.advance(100);
    assert.equal(log.length, 3, "a second release must not free another slot");
  });
  await t.test("admits no request after the lease has expired", async () => {
    const { clock, holder, log, request } = setUp();
    holder.apply(share(1000, 9), 100);
    await clock.advance(100);
    request();
    await clock.advance(500);
    assert.deepEqual(log, [{ at: 600, code: "limit_exceeded" }]);
  });
});

test("reports the demand and the share that is still in use", async () => {
  const { clock, holder, releases, request } = setUp();
  assert.deepEqual(holder.collect(), []);
  holder.apply([{ entry: "e", ratePerS: 100, concurrency: 5 }], 2000);
  for (let i = 0; i < 5; i++) request();
  await clock.advance(40);
  holder.apply([{ entry: "e", ratePerS: 10, concurrency: 2 }], 2000);
  const [report] = holder.collect();
  assert.equal(Math.round(report?.demandPerS ?? 0), 5);
  assert.equal(report?.demandConcurrency, 5);
  assert.equal(report.heldRatePerS, 10);
  assert.equal(report.heldConcurrency, 5, "five requests are in flight");
  for (const release of releases) release();
  assert.equal(holder.collect()[0]?.heldConcurrency, 2);
  holder.apply([], 2000);
  await clock.advance(10_000);
  assert.deepEqual(holder.collect(), []);
});
