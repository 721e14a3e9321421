import assert from "node:assert/strict";
import { test } from "node:test";
import { RegionWorld } from "../support/region_world.ts";

test("a new region serves every key within 3 s, balanced", async () => {
  const world = new RegionWorld(1);
  await world.run(3000);
  assert.deepEqual(world.unserved(), []);
  for (const service of ["ledger", "usage"]) {
    assert.deepEqual(Object.values(world.counts(service)), [6, 6, 6, 6]);
  }
});
