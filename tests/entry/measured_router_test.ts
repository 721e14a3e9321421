import assert from "node:assert/strict";
import { Readable } from "node:stream";
import { test } from "node:test";
import type { Refusal } from "../../src/base/refusal.ts";
import { MeasuredRouter } from "../../src/entry/measured_router.ts";
import type { DispatchOutcome } from "../../src/upstreams/dispatch_outcome.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { RecordingMetrics } from "../support/recording_metrics.ts";

const refused = (
  code: Refusal["code"],
  outcome: Refusal["outcome"] = "not_run",
): DispatchOutcome => ({
  kind: "refused",
  refusal: { code, outcome, message: "" },
});
const answer: DispatchOutcome = {
  kind: "response",
  status: 200,
  headers: {},
  body: Readable.from([]),
  waitMs: 0,
};

const cases: {
  /** Failure that the case guards against. */
  name: string;
  outcome: DispatchOutcome;
  matched?: boolean;
  aborted?: boolean;
  expected: [string, number][];
}[] = [
  {
    name: "the response time is missing or has a wrong service",
    outcome: answer,
    matched: true,
    expected: [["request.answer_ms sierra/usage", 7]],
  },
  {
    name: "a refusal before the entry is known is not counted",
    outcome: refused("unknown_entry"),
    expected: [["refused.unknown_entry sierra", 1]],
  },
  {
    name: "a request that may have run is counted like one that did not",
    outcome: refused("upstream_failed", "outcome_unknown"),
    matched: true,
    expected: [
      ["refused.upstream_failed sierra/usage", 1],
      ["request.outcome_unknown sierra/usage", 1],
    ],
  },
  {
    name: "disconnected callers are counted as refusals and raise an alarm",
    outcome: refused("upstream_unavailable"),
    matched: true,
    aborted: true,
    expected: [["request.abandoned sierra/usage", 1]],
  },
  {
    name: "a passed deadline is counted as a disconnected caller",
    outcome: refused("deadline_exceeded"),
    matched: true,
    aborted: true,
    expected: [["refused.deadline_exceeded sierra/usage", 1]],
  },
];

for (const { name, outcome, matched, aborted, expected } of cases) {
  test(`MeasuredRouter, guards against: ${name}`, async () => {
    const clock = new ManualClock();
    const metrics = new RecordingMetrics();
    const router = new MeasuredRouter({
      router: {
        async handle(req, end) {
          if (matched === true) req.onMatched?.("usage");
          await clock.advance(7);
          if (aborted === true) end.abort();
          return outcome;
        },
      },
      clock,
      metrics,
      region: "sierra",
    });
    const result = await router.handle({
      requestId: "r",
      method: "GET",
      target: "/",
      host: undefined,
      headers: {},
      body: undefined,
      contentLength: undefined,
      sendContinueIfExpected: () => undefined,
    }, new AbortController());
    assert.equal(result, outcome);
    assert.deepEqual([...metrics.values], expected);
  });
}
