import assert from "node:assert/strict";
import { test } from "node:test";
import { ReportedSlowdowns } from "../../src/ranges/reported_slowdowns.ts";

/** Alternating reports of VMs that see the same upstream differently. */
const REPORTS = Array.from(
  { length: 60 },
  (_, index) => index % 2 === 0 ? 0.7 : 1.3,
);

// Guards against keys that move because the last two reports differ by chance.
test("averages differing reports of many VMs", () => {
  const slowdowns = new ReportedSlowdowns();
  const averages = REPORTS.map((slowdown) => {
    slowdowns.add({ "i-1": slowdown });
    return slowdowns.averages.get("i-1") ?? 0;
  });
  for (const average of averages.slice(20)) {
    assert.ok(Math.abs(average - 1) < 0.1, String(average));
  }
});

// Guards against keys that stay at an upstream that has become slow.
test("follows an upstream that all VMs report as slow", () => {
  const slowdowns = new ReportedSlowdowns();
  slowdowns.add({ "i-1": 1 });
  for (let vm = 0; vm < 12; vm++) slowdowns.add({ "i-1": 3 });
  assert.ok((slowdowns.averages.get("i-1") ?? 0) > 2.8);
});

test("forgets upstreams that are no longer registered", () => {
  const slowdowns = new ReportedSlowdowns();
  slowdowns.add({ "i-1": 1, "i-2": 1 });
  slowdowns.prune((id) => id === "i-2");
  assert.deepEqual([...slowdowns.averages.keys()], ["i-2"]);
});
