import assert from "node:assert/strict";
import { test } from "node:test";
import type { PlantedFault } from "../support/planted_fault.ts";
import { tenantSearchCase } from "../support/tenant_search_case.ts";

const MAX_CASES = 100;
const FAULTS: readonly PlantedFault[] = [
  "new_leader_grants_at_once",
  "restarted_holder_keeps_share",
  "duplicate_response_counts",
  "expiry_ignores_suspension",
  "region_has_two_holders",
  "lease_of_holder_never_ends",
];

// Guards against a search whose cases no longer reach the faults that it is
// meant to find.
for (const fault of FAULTS) {
  test(`the search finds the planted fault ${fault}`, () => {
    let seed = 1;
    while (
      seed <= MAX_CASES && tenantSearchCase(seed, fault).violations.length === 0
    ) seed++;
    assert.ok(seed <= MAX_CASES, `not found in ${MAX_CASES} cases`);
  });
}
