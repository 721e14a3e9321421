import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { AttemptResult } from "../../src/direct/attempt_result.ts";
import { judgeResult } from "../../src/direct/judge_result.ts";

const answer = {
  notExecuted: false,
  misdirected: false,
  otherInstance: false,
  leaving: false,
  pauseMs: undefined,
  identity: "same",
  signed: true,
  load: undefined,
} as const;

function answered(status: number, signed = true): AttemptResult {
  return {
    kind: "answered",
    status,
    headers: {},
    body: Buffer.alloc(0),
    framed: true,
    answer: { ...answer, signed },
  };
}

// Name, result of an attempt, expected verdict, whether it has an answer that
// may be delivered.
const CASES: [string, AttemptResult, string, boolean][] = [
  ["a signed 200", answered(200), "deliver", true],
  ["a signed 404", answered(404), "deliver", true],
  ["an unsigned 404", answered(404, false), "deliver", true],
  ["an unsigned 200", answered(200, false), "failed", false],
  ["a signed 500", answered(500), "failed", true],
  ["a signed 504", answered(504), "failed", true],
  ["an unsigned 500", answered(500, false), "failed", false],
  // The request may have run, but from these statuses the caller would conclude
  // that it has not.
  ["a signed 503", answered(503), "failed", false],
  ["a signed 429", answered(429), "failed", false],
  ["a signed 408", answered(408), "failed", false],
  ["no answer", { kind: "lost", reason: "reset" }, "failed", false],
  [
    "no connection",
    { kind: "not_sent", reason: "x", cause: "no_connection" },
    "not_sent",
    false,
  ],
  [
    "a request rejected as overload",
    { kind: "rejected", status: 503, answer },
    "rejected",
    false,
  ],
  [
    "a request for a key of another owner",
    { kind: "rejected", status: 421, answer: { ...answer, misdirected: true } },
    "misdirected",
    false,
  ],
];

describe("judgeResult", () => {
  for (const [name, result, kind, deliverable] of CASES) {
    it(`${name}: ${kind}`, () => {
      const verdict = judgeResult(result);
      assert.equal(verdict.kind, kind);
      assert.equal(
        "result" in verdict && verdict.result !== undefined,
        deliverable,
      );
    });
  }
});
