import assert from "node:assert/strict";
import { test } from "node:test";
import { runRandomFaults } from "../support/region_chaos.ts";
import { OwnershipSimulation } from "../support/ownership_simulation.ts";

// Guards against two owners of a key or upstream under overlapping faults, and
// against states from which the region does not recover. To repeat a run, set
// REGION_SEED=<seed>.
const givenSeed = process.env.REGION_SEED;
const seeds = givenSeed === undefined
  ? [1, 2, 3, Date.now() % 1_000_000]
  : [Number(givenSeed)];
for (const [run, seed] of seeds.entries()) {
  test(`ownership stays exclusive under random faults, run ${run + 1}`, async (t) => {
    t.diagnostic(`seed ${seed}`);
    const region = new OwnershipSimulation(seed);
    try {
      await region.advance(2000);
      await runRandomFaults(region, 20_000);
      await region.advance(12_000);
      assert.deepEqual(region.unservedKeys(), []);
      for (const service of ["ledger", "usage"]) {
        assert.deepEqual(Object.values(region.shardCounts(service)), [
          6,
          6,
          6,
          6,
        ]);
      }
    } catch (err) {
      throw new Error(`seed ${seed}`, { cause: err });
    }
  });
}
