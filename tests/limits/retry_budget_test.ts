import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "../../src/limits/retry_budget.ts";
import { ManualClock } from "../support/manual_clock.ts";

test("bounds retries by the number of requests and by time", async () => {
  const clock = new ManualClock();
  const budget = new RetryBudget(clock);
  const drain = (service = "s") => {
    let taken = 0;
    while (budget.take(service)) taken++;
    return taken;
  };
  assert.equal(drain(), 10, "a new service starts with 10 retries");
  for (let i = 0; i < 1005; i++) budget.onRequest("s");
  assert.equal(drain(), 100, "one retry per 10 requests");
  await clock.advance(1950);
  assert.ok([19, 20].includes(drain()), "10 retries per second");
  await clock.advance(3_600_000);
  assert.equal(
    drain(),
    250,
    "an hour without requests saves up at most 250 retries",
  );
  assert.equal(drain("other"), 10, "each service has its own budget");
});
