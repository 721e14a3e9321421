import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RegionTellers } from "../../src/ranges/region_tellers.ts";

function reporter(vm: string, region: string) {
  return { vm, region, peerUrl: `http://${vm}`, canTell: true };
}

describe("RegionTellers", () => {
  it("names one VM of each region", () => {
    const tellers = new RegionTellers();
    for (const vm of ["a-2", "a-1"]) tellers.onReport(reporter(vm, "a"), 0);
    tellers.onReport(reporter("b-1", "b"), 0);
    assert.equal(tellers.tellerOf("a"), "http://a-1");
    assert.equal(tellers.tellerOf("b"), "http://b-1");
    assert.equal(tellers.tellerOf("c"), undefined);
    assert.equal(tellers.count, 3);
  });

  // Guards against a region that changes its source with every VM that joins.
  it("keeps a VM while it reports, and replaces it when it does not", () => {
    const tellers = new RegionTellers();
    tellers.onReport(reporter("a-2", "a"), 0);
    assert.equal(tellers.tellerOf("a"), "http://a-2");
    tellers.onReport(reporter("a-1", "a"), 100);
    assert.equal(tellers.tellerOf("a"), "http://a-2");
    tellers.forget(50);
    assert.equal(tellers.count, 1);
    assert.equal(tellers.tellerOf("a"), "http://a-1");
  });

  // Guards against a region whose VMs all call the store because it refuses one.
  it("replaces a VM that the store refuses", () => {
    const tellers = new RegionTellers();
    for (const vm of ["a-1", "a-2"]) tellers.onReport(reporter(vm, "a"), 0);
    assert.equal(tellers.tellerOf("a"), "http://a-1");
    tellers.onReport({ ...reporter("a-1", "a"), canTell: false }, 10);
    assert.equal(tellers.tellerOf("a"), "http://a-2");
    tellers.onReport({ ...reporter("a-2", "a"), canTell: false }, 20);
    assert.equal(tellers.tellerOf("a"), undefined);
  });

  it("follows a VM to its new address", () => {
    const tellers = new RegionTellers();
    tellers.onReport(reporter("a-1", "a"), 0);
    assert.equal(tellers.tellerOf("a"), "http://a-1");
    tellers.onReport({ ...reporter("a-1", "a"), peerUrl: "http://new" }, 10);
    assert.equal(tellers.tellerOf("a"), "http://new");
  });
});
