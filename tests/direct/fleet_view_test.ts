import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetRig } from "../support/fleet_rig.ts";

describe("FleetView", () => {
  it("never goes back to an older configuration", () => {
    const rig = FleetRig.manual();
    rig.configure([rig.route()], [{}], 5);
    rig.configure([], [{}], 4);
    assert.equal(rig.view.config?.version, 5);
    assert.ok(rig.view.matcher.match("h.example", "/a/b") !== undefined);
  });

  it("drops an upstream whose entry is gone", () => {
    const rig = FleetRig.manual();
    rig.upstream();
    rig.view.removeUpstreams(["u-1"]);
    assert.equal(rig.view.upstream("u-1"), undefined);
  });

  // Guards: all upstreams are dropped because their entries lapsed while the
  // registry was away, though they are back two seconds later.
  it("waits for entries that lapsed while the registry was away", async () => {
    const rig = FleetRig.manual();
    const back = rig.upstream({ id: "back" });
    rig.upstream({ id: "gone" });
    rig.view.onRegistryReconnected();
    rig.view.setRegistry([]);
    await rig.clock.advance(1500);
    rig.view.dropMissing();
    assert.ok(rig.view.upstream("gone") !== undefined);
    rig.view.setUpstream(back.entry);
    await rig.clock.advance(1000);
    rig.view.dropMissing();
    assert.equal(rig.view.upstream("gone"), undefined);
    assert.equal(rig.view.upstream("back"), back);
  });

  // Guards: a VM that alone was cut off goes on sending to an upstream that
  // left meanwhile, for as long as entries may be missing after an outage.
  it("drops an upstream that alone is missing when the registry returns", () => {
    const rig = FleetRig.manual();
    for (let n = 0; n < 10; n++) rig.upstream({ id: `u-${n}` });
    const kept = [...rig.view.upstreams].map(({ entry }) => entry)
      .filter(({ id }) => id !== "u-3");
    rig.view.onRegistryReconnected();
    rig.view.setRegistry(kept);
    assert.equal(rig.view.upstream("u-3"), undefined);
    // The same when the feed tells it.
    rig.view.removeUpstreams(["u-4", "u-5"]);
    assert.equal(rig.view.upstream("u-4"), undefined);
  });

  // Guards: the same, and so many have left that their entries pass for lapsed.
  // A VM counts as in touch 3 s after a cut, of which its feed's pause takes up
  // to 1.2 s.
  it("sends nothing to many upstreams that left while it was cut off", async () => {
    const rig = FleetRig.manual();
    for (let n = 0; n < 41; n++) rig.upstream({ id: `u-${n}` });
    const left = Array.from({ length: 11 }, (_, n) => `u-${n}`);
    rig.view.onRegistryReconnected();
    rig.view.removeUpstreams(left);
    await rig.clock.advance(1800);
    rig.view.dropMissing();
    const usable = left.map((id) => rig.view.upstream(id))
      .filter((one) => one !== undefined && rig.view.isUsable(one));
    assert.equal(usable.length, 0);
  });

  it("takes a new life under the same id for another upstream", () => {
    const rig = FleetRig.manual();
    const before = rig.upstream();
    before.load.onSent();
    const after = rig.upstream({ incarnation: 2 });
    assert.notEqual(after, before);
    assert.equal(after.load.inFlight, 0);
  });

  it("takes upstreams of a domain that returns for cold", async () => {
    const rig = FleetRig.manual();
    rig.configure([rig.route()]);
    const upstream = rig.upstream();
    rig.view.setEvacuated(new Set(["a1"]));
    assert.ok(!rig.view.isUsable(upstream));
    await rig.clock.advance(500);
    rig.view.setEvacuated(new Set());
    assert.ok(rig.view.isUsable(upstream));
    assert.ok(upstream.warmUp.isCold(rig.clock.now()));
    assert.ok(!upstream.warmUp.isCold(rig.clock.now() + 3000));
  });

  // Guards: a leader that has just begun has heard of no VM but itself, and
  // shares that bind all VMs together are multiplied.
  it("believes in fewer VMs only after a while", async () => {
    const rig = FleetRig.manual(12);
    rig.view.setVms(1);
    assert.equal(rig.view.vms, 12);
    rig.view.setVms(14);
    assert.equal(rig.view.vms, 14);
    await rig.clock.advance(11_000);
    rig.view.setVms(11);
    assert.equal(rig.view.vms, 11);
  });
});
