import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { IdleLimit } from "../../src/upstreams/idle_limit.ts";

const DEFAULT_MAX_IDLE_MS = 1000;

type Reset = { address: string; idleMs: number; at: number };

// Guards against requests that are reset because many upstreams drop
// connections after 320 ms of idle time, while each VM sends a request to each
// of them about once a second.
const CASES: readonly {
  name: string;
  resets: Reset[];
  now: number;
  maxIdleMs: number;
}[] = [
  { name: "no resets", resets: [], now: 0, maxIdleMs: DEFAULT_MAX_IDLE_MS },
  {
    name: "resets of two upstreams within 3 s",
    resets: [
      { address: "a", idleMs: 400, at: 0 },
      { address: "b", idleMs: 900, at: 2900 },
    ],
    now: 3000,
    maxIdleMs: 280,
  },
  {
    name: "resets of one upstream, which may have terminated",
    resets: [
      { address: "a", idleMs: 400, at: 0 },
      { address: "a", idleMs: 500, at: 10 },
    ],
    now: 100,
    maxIdleMs: DEFAULT_MAX_IDLE_MS,
  },
  {
    name: "resets of two upstreams that are far apart",
    resets: [
      { address: "a", idleMs: 400, at: 0 },
      { address: "b", idleMs: 400, at: 4000 },
    ],
    now: 4100,
    maxIdleMs: DEFAULT_MAX_IDLE_MS,
  },
  {
    name: "resets of connections that were idle for less than 100 ms",
    resets: [
      { address: "a", idleMs: 40, at: 0 },
      { address: "b", idleMs: 40, at: 0 },
    ],
    now: 100,
    maxIdleMs: DEFAULT_MAX_IDLE_MS,
  },
  {
    name: "resets that are 8 s old",
    resets: [
      { address: "a", idleMs: 400, at: 0 },
      { address: "b", idleMs: 400, at: 0 },
    ],
    now: 8000,
    maxIdleMs: DEFAULT_MAX_IDLE_MS,
  },
  {
    name: "resets after idle times above the default",
    resets: [
      { address: "a", idleMs: 3000, at: 0 },
      { address: "b", idleMs: 3000, at: 0 },
    ],
    now: 100,
    maxIdleMs: DEFAULT_MAX_IDLE_MS,
  },
];

describe("IdleLimit", () => {
  for (const { name, resets, now, maxIdleMs } of CASES) {
    it(`after ${name}: ${maxIdleMs} ms`, () => {
      const limit = new IdleLimit();
      for (const { at, ...reset } of resets) limit.onReset(reset, at);
      assert.equal(limit.maxIdleMs(DEFAULT_MAX_IDLE_MS, now), maxIdleMs);
    });
  }

  it("calls onChange when the limit shortens and when the default applies again", () => {
    const limits: (number | undefined)[] = [];
    const limit = new IdleLimit(({ limitMs }) => limits.push(limitMs));
    limit.onReset({ address: "a", idleMs: 400 }, 0);
    limit.onReset({ address: "b", idleMs: 400 }, 10);
    limit.onReset({ address: "b", idleMs: 500 }, 20);
    limit.maxIdleMs(DEFAULT_MAX_IDLE_MS, 30);
    limit.maxIdleMs(DEFAULT_MAX_IDLE_MS, 9000);
    assert.deepEqual(limits, [280, undefined]);
  });
});
