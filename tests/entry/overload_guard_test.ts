import assert from "node:assert/strict";
import { test } from "node:test";
import type { Clock } from "../../src/base/clock.ts";
import { OverloadGuard } from "../../src/entry/overload_guard.ts";
import { silentLogger } from "../support/silent_logger.ts";

const MAX_DELAY_MS = 60;

/** Runs the guard with ticks that are late by the given milliseconds. */
async function overloadedAfter(
  lateness: readonly number[],
): Promise<{ overloaded: boolean; lines: number }> {
  const logged: Parameters<typeof silentLogger>[0] & object = [];
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
  const guard = new OverloadGuard(
    { clock, logger: silentLogger(logged), maxTimerDelayMs: MAX_DELAY_MS },
    end.signal,
  );
  while (ticks <= lateness.length) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  return { overloaded: guard.overloaded, lines: logged.length };
}

// Guards against a router that queues requests without limit because overload
// is not detected, and against one that refuses requests after a single pause.
for (
  const { name, lateness, overloaded, lines } of [
    {
      name: "timers on time",
      lateness: [0, 1, 2, 0, 5, 1],
      overloaded: false,
      lines: 0,
    },
    {
      name: "one long pause",
      lateness: [0, 900, 0],
      overloaded: false,
      lines: 0,
    },
    {
      name: "five late timers in a row",
      lateness: [80, 90, 100, 90, 80],
      overloaded: true,
      lines: 1,
    },
    {
      name: "a timer on time after an overload",
      lateness: [80, 90, 100, 90, 80, 3],
      overloaded: false,
      lines: 2,
    },
    {
      name: "timers late by exactly the tolerated delay",
      lateness: [60, 60, 60, 60, 60, 60],
      overloaded: false,
      lines: 0,
    },
  ]
) {
  test(`${name}: overloaded is ${overloaded}`, async () => {
    assert.deepEqual(await overloadedAfter(lateness), { overloaded, lines });
  });
}
