import assert from "node:assert/strict";
import { test } from "node:test";
import { ShareLedger } from "../../src/limits/share_ledger.ts";
import { regionReport } from "../support/region_report.ts";

const LIMITS_BY_ENTRY = new Map([["rent", { ratePerS: 100, concurrency: 10 }]]);
const TTL_MS = 2000;

function rateAt(
  term: { epoch: number; acquiredAt: number },
  now: number,
): number {
  const ledger = new ShareLedger({ ...term, ttlMs: TTL_MS });
  const report = regionReport("vm1", {});
  ledger.accept(report, now);
  return ledger.grant(report, LIMITS_BY_ENTRY, now)[0]?.ratePerS ?? 0;
}

// Guards against a new region that refuses all requests for one TTL, and
// against a new coordinator that grants shares which routers may still hold from
// its predecessor.
for (
  const { name, epoch, now, rate } of [
    { name: "the first coordinator", epoch: 1, now: 0, rate: 100 },
    {
      name: "a later coordinator within the TTL",
      epoch: 2,
      now: 1999,
      rate: 0,
    },
    {
      name: "a later coordinator after the TTL",
      epoch: 2,
      now: 2000,
      rate: 100,
    },
  ]
) {
  test(`${name} grants ${rate} requests/s to a router without shares`, () => {
    assert.equal(rateAt({ epoch, acquiredAt: 0 }, now), rate);
  });
}
