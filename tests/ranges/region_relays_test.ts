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
  it("chooses one VM of each region", () => {
    const relays = new RegionRelays();
    for (const vm of ["a-2", "a-1"]) relays.onReport(reporter(vm, "a"), 0);
    relays.onReport(reporter("b-1", "b"), 0);
    assert.equal(relays.relayOf("a"), "http://a-1");
    assert.equal(relays.relayOf("b"), "http://b-1");
    assert.equal(relays.relayOf("c"), undefined);
    assert.equal(relays.reporterCount, 3);
  });

  // Guards against a region that changes its relay with every VM that joins.
  it("keeps a relay while it reports, and replaces it when it stops", () => {
    const relays = new RegionRelays();
    relays.onReport(reporter("a-2", "a"), 0);
    assert.equal(relays.relayOf("a"), "http://a-2");
    relays.onReport(reporter("a-1", "a"), 100);
    assert.equal(relays.relayOf("a"), "http://a-2");
    relays.removeReportersBefore(50);
    assert.equal(relays.reporterCount, 1);
    assert.equal(relays.relayOf("a"), "http://a-1");
  });

  // Guards against a region whose VMs all call the store because the store
  // refuses their relay.
  it("replaces a relay that the store refuses", () => {
    const relays = new RegionRelays();
    for (const vm of ["a-1", "a-2"]) relays.onReport(reporter(vm, "a"), 0);
    assert.equal(relays.relayOf("a"), "http://a-1");
    relays.onReport({ ...reporter("a-1", "a"), canRelay: false }, 10);
    assert.equal(relays.relayOf("a"), "http://a-2");
    relays.onReport({ ...reporter("a-2", "a"), canRelay: false }, 20);
    assert.equal(relays.relayOf("a"), undefined);
  });

  // Guards against a relay that its region's queries overload.
  it("prefers the VM with most cores", () => {
    const relays = new RegionRelays();
    for (const [index, cores] of [0.27, 1.35, 0.54].entries()) {
      relays.onReport({ ...reporter(`a-${index}`, "a"), cores }, 0);
    }
    assert.equal(relays.relayOf("a"), "http://a-1");
  });

  // The leader was the VM with most cores as well. Guards against a region that
  // loses the leader and its relay, which holds the limits of tenants, at once.
  it("chooses an avoided VM only if no other can relay", () => {
    const relays = new RegionRelays();
    relays.onReport({ ...reporter("a-1", "a"), cores: 2 }, 0);
    assert.equal(relays.relayOf("a", "a-1"), "http://a-1");
    relays.onReport({ ...reporter("a-2", "a"), cores: 1 }, 10);
    assert.equal(relays.relayOf("a", "a-1"), "http://a-2");
    assert.equal(relays.relayOf("a", "a-1"), "http://a-2");
    relays.onReport({ ...reporter("a-2", "a"), canRelay: false }, 20);
    assert.equal(relays.relayOf("a", "a-1"), "http://a-1");
  });

  it("returns the relay's new address when it changes", () => {
    const relays = new RegionRelays();
    relays.onReport(reporter("a-1", "a"), 0);
    assert.equal(relays.relayOf("a"), "http://a-1");
    relays.onReport({ ...reporter("a-1", "a"), peerUrl: "http://new" }, 10);
    assert.equal(relays.relayOf("a"), "http://new");
  });
});
