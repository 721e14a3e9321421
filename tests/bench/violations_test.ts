import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { CallResult } from "../../dev/bench/call_result.ts";
import { countViolations } from "../../dev/bench/violations.ts";
import { UpstreamJournal } from "../../dev/standins/upstream_journal.ts";

const OK: CallResult = {
  id: "r1",
  url: "http://router",
  entry: "usage-once",
  key: "k",
  startedAt: 0,
  endedAt: 1,
  status: 200,
  code: "",
  outcome: "",
  mismatched: false,
  servedBy: "w1",
  serviceMs: 1,
};
const NOT_RUN = { ...OK, status: 503, outcome: "not_run" };
const HELD_0_TO_100_MS = { unit: "shard:1", from: 0, to: 100 };

type Case = {
  name: string;
  results?: CallResult[];
  /** Request ids that took effect, by upstream. */
  effects?: string[][];
  holds?: { unit: string; from: number; to: number }[][];
  expected: Record<string, number>;
};

const CASES: Case[] = [
  {
    name: "accepts a request that ran once",
    results: [OK],
    effects: [["r1"]],
    expected: {},
  },
  {
    name: "counts a non-idempotent request that ran on two upstreams",
    results: [OK],
    effects: [["r1"], ["r1"]],
    expected: { runTwice: 1 },
  },
  {
    name: "accepts an idempotent request that ran twice",
    results: [{ ...OK, entry: "usage" }],
    effects: [["r1", "r1"]],
    expected: {},
  },
  {
    name: "counts a not_run refusal of a request that ran",
    results: [NOT_RUN],
    effects: [["r1"]],
    expected: { falseNotRun: 1 },
  },
  {
    name: "counts a response that belongs to another request",
    results: [{ ...OK, mismatched: true }],
    effects: [["r1"]],
    expected: { foreignAnswers: 1 },
  },
  {
    name: "counts a successful response without an effect",
    results: [OK],
    expected: { lostEffects: 1 },
  },
  {
    name: "counts two upstreams that hold a shard at the same time",
    holds: [[HELD_0_TO_100_MS], [{ unit: "shard:1", from: 50, to: 150 }]],
    expected: { twoOwners: 1 },
  },
  {
    name: "accepts two upstreams that hold a shard one after the other",
    holds: [[HELD_0_TO_100_MS], [{ unit: "shard:1", from: 100, to: 150 }]],
    expected: {},
  },
];

describe("invariant checker of the bench", () => {
  for (const { name, results = [], effects, holds, expected } of CASES) {
    test(name, () => {
      const upstreams = ["w1", "w2"].map((id, index) => {
        const journal = new UpstreamJournal();
        for (const effect of effects?.[index] ?? []) {
          journal.recordEffect({ id: effect, key: "k", unit: "shard:1" });
        }
        journal.holds.push(...holds?.[index] ?? []);
        return { id, service: "usage", journal };
      });
      const found = Object.entries(countViolations({ results, upstreams }))
        .filter(([, count]) => count > 0);
      assert.deepEqual(Object.fromEntries(found), expected);
    });
  }
});
