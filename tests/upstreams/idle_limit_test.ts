import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { IdleLimit } from "../../src/upstreams/idle_limit.ts";

const USUAL_MS = 1000;

type Reset = { address: string; idleMs: number; at: number };

// The pattern: many upstreams forget connections idle for 320 ms, while
// each VM sends a request to each of them about once a second.
const CASES: readonly {
  name: string;
  resets: Reset[];
  now: number;
  maxMs: number;
}[] = [
  { name: "no resets", resets: [], now: 0, maxMs: USUAL_MS },
  {
    name: "resets of two upstreams within 3 s",
    resets: [
      { address: "a", idleMs: 400, at: 0 },
      { address: "b", idleMs: 900, at: 2900 },
    ],
    now: 3000,
    maxMs: 280,
  },
  {
    name: "resets of one upstream, which may have ended",
    resets: [
      { address: "a", idleMs: 400, at: 0 },
      { address: "a", idleMs: 500, at: 10 },
    ],
    now: 100,
    maxMs: USUAL_MS,
  },
  {
    name: "resets of two upstreams that are far apart",
    resets: [
      { address: "a", idleMs: 400, at: 0 },
      { address: "b", idleMs: 400, at: 4000 },
    ],
    now: 4100,
    maxMs: USUAL_MS,
  },
  {
    name: "resets of connections that had hardly rested",
    resets: [
      { address: "a", idleMs: 40, at: 0 },
      { address: "b", idleMs: 40, at: 0 },
    ],
    now: 100,
    maxMs: USUAL_MS,
  },
  {
    name: "resets that are long over",
    resets: [
      { address: "a", idleMs: 400, at: 0 },
      { address: "b", idleMs: 400, at: 0 },
    ],
    now: 8000,
    maxMs: USUAL_MS,
  },
  {
    name: "resets after longer rests than usual",
    resets: [
      { address: "a", idleMs: 3000, at: 0 },
      { address: "b", idleMs: 3000, at: 0 },
    ],
    now: 100,
    maxMs: USUAL_MS,
  },
];

describe("IdleLimit", () => {
  for (const { name, resets, now, maxMs } of CASES) {
    it(`after ${name}: ${maxMs} ms`, () => {
      const limit = new IdleLimit();
      for (const { at, ...reset } of resets) limit.onReset(reset, at);
      assert.equal(limit.maxMs(USUAL_MS, now), maxMs);
    });
  }

  it("tells when rests get shorter and when they are as usual again", () => {
    const told: (number | undefined)[] = [];
    const limit = new IdleLimit(({ limitMs }) => told.push(limitMs));
    limit.onReset({ address: "a", idleMs: 400 }, 0);
    limit.onReset({ address: "b", idleMs: 400 }, 10);
    limit.onReset({ address: "b", idleMs: 500 }, 20);
    limit.maxMs(USUAL_MS, 30);
    limit.maxMs(USUAL_MS, 9000);
    assert.deepEqual(told, [280, undefined]);
  });
});
