import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetRetryBudget } from "../../src/limits/fleet_retry_budget.ts";
import { ManualClock } from "../support/manual_clock.ts";

const BOUND = { ratio: 0.2, windowMs: 10_000, slack: 62 };
const STEP_MS = 50;

describe("FleetRetryBudget", () => {
  // Guards against retries of all VMs together that exceed the bound in some
  // window. Every request fails at its first upstream on all VMs, while the
  // request rate changes.
  for (const vms of [1, 12, 90]) {
    it(`keeps the retries of ${vms} VMs within the bound in every window`, async () => {
      const clock = new ManualClock();
      const budgets = Array.from(
        { length: vms },
        () => new FleetRetryBudget({ clock, bound: BOUND, vms: () => vms }),
      );
      const requests: number[] = [];
      const retries: number[] = [];
      for (let now = 0; now < 30_000; now += STEP_MS) {
        const busy = now > 8000 && now < 14_000;
        for (const [index, budget] of budgets.entries()) {
          if (!busy && (now / STEP_MS + index) % 8 !== 0) continue;
          budget.onRequest("s");
          requests.push(now);
          if (budget.take("s")) retries.push(now);
        }
        await clock.advance(STEP_MS);
      }
      assert.ok(retries.length > 0);
      for (let from = 0; from < 20_000; from += 500) {
        const within = (times: number[], start: number) =>
          times.filter((at) => at >= start && at < start + BOUND.windowMs)
            .length;
        const counted = Math.max(
          within(requests, from),
          within(requests, from - BOUND.windowMs),
          within(requests, from - BOUND.windowMs / 2),
        );
        assert.ok(
          within(retries, from) <= BOUND.ratio * counted + BOUND.slack,
        );
      }
    });
  }

  it("has a separate budget for each service", () => {
    const clock = new ManualClock();
    const budget = new FleetRetryBudget({
      clock,
      bound: { ratio: 0, windowMs: 10_000, slack: 5 },
      vms: () => 1,
    });
    while (budget.take("a"));
    assert.ok(budget.take("b"));
  });
});
