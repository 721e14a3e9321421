import assert from "node:assert/strict";
import { test } from "node:test";
import { tenantSearchCase } from "../support/tenant_search_case.ts";

const FIRST_SEED = Number(process.env.LIMIT_SEED ?? 1);
const CASES = Number(process.env.LIMIT_CASES ?? 60);

// Guards against tokens that are spent twice after a restart, a freeze, a
// partition, a change of the leader or of a holder, or a late or repeated
// message.
test("no fault lets VMs admit more requests than a tenant's limit", () => {
  const found = [];
  let admitted = 0;
  for (let seed = FIRST_SEED; seed < FIRST_SEED + CASES; seed++) {
    const result = tenantSearchCase(seed);
    admitted += result.admitted;
    if (result.violations.length > 0) {
      found.push({ seed, violations: result.violations });
    }
  }
  assert.deepEqual(found, []);
  // Cases in which almost nothing is admitted would show nothing.
  assert.ok(admitted > 200 * CASES, `${admitted} requests were admitted`);
});
