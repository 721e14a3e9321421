import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RegionRelays } from "../../src/ranges/region_relays.ts";

function reporter(vm: string, region: string) {
  return {
    vm,
    region,
    peerUrl: `http://${vm}`,
    canRelay: true,
    cores: undefined,
  };
}

describe("RegionRelays", () => {
  it("names one VM of each region", () => {
    const relays = new RegionRelays();
    for (const vm of ["a-2", "a-1"]) relays.onReport(reporter(vm, "a"), 0);
    relays.onReport(reporter("b-1", "b"), 0);
    assert.equal(relays.relayOf("a"), "http://a-1");
    assert.equal(relays.relayOf("b"), "http://b-1");
    assert.equal(relays.relayOf("c"), undefined);
    assert.equal(relays.count, 3);
  });

  // Guards against a region that changes its source with every VM that joins.
  it("keeps a VM while it reports, and replaces it when it does not", () => {
    const relays = new RegionRelays();
    relays.onReport(reporter("a-2", "a"), 0);
    assert.equal(relays.relayOf("a"), "http://a-2");
    relays.onReport(reporter("a-1", "a"), 100);
    assert.equal(relays.relayOf("a"), "http://a-2");
    relays.forget(50);
    assert.equal(relays.count, 1);
    assert.equal(relays.relayOf("a"), "http://a-1");
  });

  // Guards against a region whose VMs all call the store because it refuses one.
  it("replaces a VM that the store refuses", () => {
    const relays = new RegionRelays();
    for (const vm of ["a-1", "a-2"]) relays.onReport(reporter(vm, "a"), 0);
    assert.equal(relays.relayOf("a"), "http://a-1");
    relays.onReport({ ...reporter("a-1", "a"), canRelay: false }, 10);
    assert.equal(relays.relayOf("a"), "http://a-2");
    relays.onReport({ ...reporter("a-2", "a"), canRelay: false }, 20);
    assert.equal(relays.relayOf("a"), undefined);
  });

  // Guards against a relay that its region's questions take the processor of.
  it("prefers the VM with most cores", () => {
    const relays = new RegionRelays();
    for (const [index, cores] of [0.27, 1.35, 0.54].entries()) {
      relays.onReport({ ...reporter(`a-${index}`, "a"), cores }, 0);
    }
    assert.equal(relays.relayOf("a"), "http://a-1");
  });

  it("follows a VM to its new address", () => {
    const relays = new RegionRelays();
    relays.onReport(reporter("a-1", "a"), 0);
    assert.equal(relays.relayOf("a"), "http://a-1");
    relays.onReport({ ...reporter("a-1", "a"), peerUrl: "http://new" }, 10);
    assert.equal(relays.relayOf("a"), "http://new");
  });
});
