import assert from "node:assert/strict";
import { test } from "node:test";
import type { PlantedFault } from "../support/planted_fault.ts";
import { tenantSearchCase } from "../support/tenant_search_case.ts";

const MAX_CASES = 100;
/** Each with a seed that showed it, from which the test searches. */
const FAULTS: Record<PlantedFault, number> = {
  new_leader_grants_at_once: 4,
  unconfirmed_leader_moves_shares: 2,
  restarted_holder_keeps_share: 6,
  duplicate_response_counts: 12,
  expiry_ignores_suspension: 3,
  region_has_two_holders: 2,
  lease_of_holder_never_ends: 72,
};

// Guards against a search whose cases no longer reach the faults that it is
// meant to find.
for (const [fault, firstSeed] of Object.entries(FAULTS)) {
  test(`the search finds the planted fault ${fault}`, () => {
    const end = firstSeed + MAX_CASES;
    let seed = firstSeed;
    while (
      seed < end &&
      tenantSearchCase(seed, fault as PlantedFault).violations.length === 0
    ) seed++;
    assert.ok(seed < end, `not found in ${MAX_CASES} cases`);
  });
}
