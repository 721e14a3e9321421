import assert from "node:assert/strict";
import { test } from "node:test";
import type { Clock } from "../../src/base/clock.ts";
import { OverloadGuard } from "../../src/entry/overload_guard.ts";

/** Runs the guard with ticks that are late by the given times. */
async function overloadedAfter(lateness: readonly number[]): Promise<boolean> {
  const end = new AbortController();
  let now = 0;
  let ticks = 0;
  const clock: Clock = {
    now: () => now,
    wallTime: () => new Date(0),
    sleep(ms) {
      const late = lateness[ticks];
      ticks += 1;
      if (late === undefined) return new Promise(() => undefined);
      now += ms + late;
      return Promise.resolve();
    },
  };
  const guard = new OverloadGuard(clock, end.signal);
  while (ticks <= lateness.length) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  return guard.overloaded;
}

// Guards against a router that queues without bound, and against one that
// refuses requests because of a single pause.
for (
  const { name, lateness, overloaded } of [
    { name: "timers in time", lateness: [0, 1, 2, 0, 5, 1], overloaded: false },
    { name: "one long pause", lateness: [0, 900, 0], overloaded: false },
    {
      name: "timers late all the time",
      lateness: [80, 90, 100, 90, 80],
      overloaded: true,
    },
    {
      name: "in time again after an overload",
      lateness: [80, 90, 100, 90, 80, 3],
      overloaded: false,
    },
  ]
) {
  test(`${name}: overloaded is ${overloaded}`, async () => {
    assert.equal(await overloadedAfter(lateness), overloaded);
  });
}
