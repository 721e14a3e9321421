import assert from "node:assert/strict";
import { test } from "node:test";
import { Service } from "../../src/catalogue/service.ts";
import { WarmUp } from "../../src/upstreams/warm_up.ts";
import { ManualClock } from "../support/manual_clock.ts";

type Report = Parameters<WarmUp["onStateReport"]>[0];
type Event =
  | { at: number; report: Partial<Report> }
  | { at: number; event: "cold" };
type Case = {
  name: string;
  events: Event[];
  /** Time, cold or not, concurrency and rate (`Infinity` for no limit). */
  expect: [number, boolean, number, number][];
};

const SERVICE = Service.parse({ slots: 4, connections: 8 });
const MEDIAN_MS = 100;
const warm = (at: number, requestedAt = at, boot = "b1"): Event => ({
  at,
  report: { state: "warm", boot, requestedAt },
});

// Guards against a cold upstream that is treated as warm because a report is
// late or misleading, and against a ramp that never ends.
const cases: Case[] = [
  {
    name: "cold-start limits before the first report",
    events: [],
    expect: [[10, true, 1, 10]],
  },
  {
    name: "no limits if the first report is warm",
    events: [warm(0)],
    expect: [[0, false, 4, Infinity]],
  },
  {
    name: "limits double each second up to the upstream's capacity",
    events: [{ at: 0, report: { state: "cold" } }, warm(500)],
    expect: [
      [1499, true, 1, 10],
      [1500, true, 2, 20],
      [2500, false, 4, Infinity],
    ],
  },
  {
    name: "a warm report requested before the cold start is ignored",
    events: [warm(0), { at: 1000, event: "cold" }, warm(1100, 900)],
    expect: [[9000, true, 1, 10]],
  },
  {
    name: "a new boot id is cold, and a late report of the old one is ignored",
    events: [warm(0), warm(1000, 1000, "b2"), warm(1010, 1005, "b1")],
    expect: [[1100, true, 1, 10], [2005, true, 2, 20]],
  },
  {
    name: "cold again during the ramp",
    events: [
      { at: 0, event: "cold" },
      warm(10),
      { at: 1500, report: { state: "cold", requestedAt: 1400 } },
    ],
    expect: [[5000, true, 1, 10]],
  },
];

for (const { name, events, expect } of cases) {
  test(`warm-up: ${name}`, async () => {
    const clock = new ManualClock();
    const warmUp = new WarmUp(clock, SERVICE);
    for (const event of events) {
      await clock.advance(event.at - clock.now());
      if ("event" in event) warmUp.becameCold();
      else {
        warmUp.onStateReport({
          state: undefined,
          boot: undefined,
          requestedAt: event.at,
          ...event.report,
        });
      }
    }
    for (const [at, cold, concurrency, ratePerS] of expect) {
      await clock.advance(at - clock.now());
      assert.equal(warmUp.isCold(MEDIAN_MS), cold, `cold at ${at}`);
      assert.equal(warmUp.concurrency(MEDIAN_MS), concurrency, `at ${at}`);
      warmUp.onStarted();
      const wait = warmUp.nextStartAt(MEDIAN_MS) - at;
      assert.equal(wait, 1000 / ratePerS, `rate at ${at}`);
    }
  });
}
