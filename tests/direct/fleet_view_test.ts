import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RangeTable } from "../../src/ranges/range_table.ts";
import { FleetRig } from "../support/fleet_rig.ts";

describe("FleetView", () => {
  it("ignores an older configuration", () => {
    const rig = FleetRig.manual();
    rig.configure([rig.route()], [{}], 5);
    rig.configure([], [{}], 4);
    assert.equal(rig.view.config?.version, 5);
    assert.equal(rig.view.matcher.match("h.example", "/a/b").kind, "route");
  });

  it("removes an upstream whose registry entry is deleted", () => {
    const rig = FleetRig.manual();
    rig.upstream();
    rig.view.removeUpstreams(["u-1"]);
    assert.equal(rig.view.upstream("u-1"), undefined);
  });

  // Guards against removing all upstreams because their entries lapsed while
  // the registry was unreachable, although the entries return two seconds
  // later.
  it("keeps upstreams whose entries lapsed in an outage of the registry", async () => {
    const rig = FleetRig.manual();
    const returning = rig.upstream({ id: "returning" });
    rig.upstream({ id: "missing" });
    rig.reconnect();
    rig.view.setRegistry([]);
    await rig.clock.advance(1500);
    rig.view.removeMissing();
    assert.ok(rig.view.upstream("missing") !== undefined);
    rig.view.setUpstream(returning.entry);
    await rig.clock.advance(1000);
    rig.view.removeMissing();
    assert.equal(rig.view.upstream("missing"), undefined);
    assert.equal(rig.view.upstream("returning"), returning);
  });

  // Guards against a VM that alone was disconnected and keeps sending to an
  // upstream that deregistered meanwhile, for as long as entries may be missing
  // after an outage.
  it("removes a single upstream that is missing after a reconnect", () => {
    const rig = FleetRig.manual();
    for (let n = 0; n < 10; n++) rig.upstream({ id: `u-${n}` });
    const kept = [...rig.view.upstreams].map(({ entry }) => entry)
      .filter(({ id }) => id !== "u-3");
    rig.reconnect();
    rig.view.setRegistry(kept);
    assert.equal(rig.view.upstream("u-3"), undefined);
    // The same when the feed reports the removal.
    rig.view.removeUpstreams(["u-4", "u-5"]);
    assert.equal(rig.view.upstream("u-4"), undefined);
  });

  // Guards against the same failure when so many upstreams have deregistered
  // that their entries count as lapsed. A VM counts as connected again 3 s
  // after the end of a network partition. The pause of its feed takes up to
  // 1.2 s of that, so 1.8 s remain after the reconnect.
  it("sends nothing to many upstreams that left while it was cut off", async () => {
    const rig = FleetRig.manual();
    for (let n = 0; n < 41; n++) rig.upstream({ id: `u-${n}` });
    const deregistered = Array.from({ length: 11 }, (_, n) => `u-${n}`);
    rig.reconnect();
    rig.view.removeUpstreams(deregistered);
    await rig.clock.advance(1800);
    rig.view.removeMissing();
    const usable = deregistered.map((id) => rig.view.upstream(id))
      .filter((upstream) =>
        upstream !== undefined && rig.view.isUsable(upstream)
      );
    assert.equal(usable.length, 0);
  });

  it("keeps sending to upstreams of a service that is mostly missing", () => {
    const rig = FleetRig.manual();
    for (let n = 0; n < 10; n++) rig.upstream({ id: `u-${n}` });
    const missing = Array.from({ length: 6 }, (_, n) => `u-${n}`);
    rig.reconnect();
    rig.view.removeUpstreams(missing);
    assert.ok(missing.every((id) => rig.view.isUsable(rig.view.upstream(id)!)));
    // Entries return one by one; then the others are the last choice.
    rig.upstream({ id: "u-0" });
    assert.ok(!rig.view.isUsable(rig.view.upstream("u-1")!));
    assert.ok(rig.view.isUsable(rig.view.upstream("u-0")!));
    // Their keys stay with them until they count as gone.
    assert.ok(rig.view.mayOwnKeys(rig.view.upstream("u-1")!));
  });

  // Guards against requests to upstreams that left (DRAIN): each report of a
  // reconnect made the time anew for which missing upstreams are used.
  it("ends the use of missing upstreams although reconnects are reported", async () => {
    const rig = FleetRig.manual();
    for (let n = 0; n < 10; n++) rig.upstream({ id: `u-${n}` });
    const missing = Array.from({ length: 6 }, (_, n) => `u-${n}`);
    rig.reconnect();
    rig.view.removeUpstreams(missing);
    for (let reports = 0; reports < 4; reports++) {
      await rig.clock.advance(650);
      rig.reconnect();
      rig.view.removeMissing();
    }
    for (const id of missing) {
      const upstream = rig.view.upstream(id);
      assert.ok(upstream === undefined || !rig.view.isUsable(upstream), id);
    }
  });

  it("lists upstreams whose leaving the registry does not say", () => {
    const rig = FleetRig.manual();
    rig.upstream({ id: "u-1" });
    rig.upstream({ id: "u-2" }).announceLeave();
    rig.view.onLeaveAnnounced("u-1", 7);
    const expected = [{ id: "u-2", incarnation: 1 }];
    assert.deepEqual(rig.view.unregisteredLeaves, expected);
    rig.view.onLeaveAnnounced("u-1", 1);
    assert.equal(rig.view.unregisteredLeaves.length, 2);
    rig.upstream({ id: "u-1", state: "draining" });
    assert.deepEqual(rig.view.unregisteredLeaves, expected);
  });

  // Guards against a request before the end of an upstream's `Retry-After`
  // (BUDGET), and against more connections than it accepts: its entry lapsed
  // alone and was written again, so the process and its requests are the same.
  it("remembers pause and requests of an upstream that is registered again", () => {
    const rig = FleetRig.manual();
    const before = rig.upstream();
    before.pause(900);
    before.load.onSent();
    rig.view.removeUpstreams(["u-1"]);
    const after = rig.upstream();
    assert.equal(after.pauseMs(rig.clock.now()), 900);
    assert.equal(after.load.inFlight, 1);
    before.load.onEnded();
    assert.equal(after.load.inFlight, 0);
  });

  it("treats a new incarnation with the same id as a new upstream", () => {
    const rig = FleetRig.manual();
    const before = rig.upstream();
    before.load.onSent();
    const after = rig.upstream({ incarnation: 2 });
    assert.notEqual(after, before);
    assert.equal(after.load.inFlight, 0);
  });

  // Guards against requests to an upstream that drains: a write of its entry
  // from before that is carried out late, also after the removal of its entry.
  for (const removed of [false, true]) {
    it(`keeps an upstream draining when an older entry follows, removed: ${removed}`, async () => {
      const rig = FleetRig.manual();
      const upstream = rig.upstream({ state: "draining", heartbeat: 8 });
      await rig.clock.advance(1600);
      if (removed) rig.view.removeUpstreams(["u-1"]);
      rig.view.setUpstream({ ...upstream.entry, state: "ready", heartbeat: 4 });
      assert.equal(rig.view.upstream("u-1"), removed ? undefined : upstream);
      assert.equal(upstream.drainingSince, 0);
      const after = rig.upstream({ state: "ready", heartbeat: 9 });
      assert.equal(after, upstream);
      assert.equal(upstream.drainingSince, undefined);
    });
  }

  // Guards against requests to an upstream that left without draining: a write of
  // its entry from before the last one is carried out after its removal.
  it("keeps an upstream removed when an older entry follows", async () => {
    const rig = FleetRig.manual();
    const { entry } = rig.upstream({ heartbeat: 8 });
    await rig.clock.advance(1600);
    rig.view.removeUpstreams(["u-1"]);
    rig.view.setUpstream({ ...entry, heartbeat: 4 });
    assert.equal(rig.view.upstream("u-1"), undefined);
  });

  // Guards against the same while its entry is missing and may have lapsed.
  it("withholds a missing upstream when an older entry follows", () => {
    const rig = FleetRig.manual();
    for (let n = 0; n < 10; n++) rig.upstream({ id: `u-${n}`, heartbeat: 8 });
    rig.reconnect();
    rig.view.removeUpstreams(["u-0", "u-1", "u-2"]);
    const upstream = rig.view.upstream("u-0");
    assert.ok(upstream !== undefined && !rig.view.isUsable(upstream));
    rig.view.setUpstream({ ...upstream.entry, heartbeat: 4 });
    assert.ok(!rig.view.isUsable(upstream));
  });

  // Guards against an upstream that is not used after it has started again, as
  // its count of entries starts anew.
  it("takes a lower heartbeat of a new incarnation", () => {
    const rig = FleetRig.manual();
    rig.upstream({ state: "draining", heartbeat: 8 });
    const after = rig.upstream({ incarnation: 2, heartbeat: 1 });
    assert.equal(after.entry.heartbeat, 1);
    assert.equal(after.drainingSince, undefined);
  });

  // Guards against a count of another writer that hides all later entries.
  it("takes a lower heartbeat 30 s after a higher one", async () => {
    const rig = FleetRig.manual();
    const upstream = rig.upstream({ heartbeat: 1e12 });
    await rig.clock.advance(30_000);
    rig.upstream({ state: "draining", heartbeat: 8 });
    assert.equal(upstream.drainingSince, 30_000);
  });

  it("treats upstreams of a domain that was evacuated as cold", async () => {
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

  // Guards against a returned upstream that gets the load of a warm one
  // (FAILBACK): its row was written before it became cold, and is read again
  // with the whole table after a partition.
  it("keeps a returned upstream cold when its row is read again", async () => {
    const rig = FleetRig.manual();
    rig.configure([rig.route()]);
    const upstream = rig.upstream();
    rig.view.setEvacuated(new Set(["a1"]));
    await rig.clock.advance(500);
    rig.view.setEvacuated(new Set());
    rig.view.setRegistry([upstream.entry]);
    assert.ok(upstream.warmUp.isCold(rig.clock.now()));
  });

  // Guards against a new leader that has no reports of other VMs yet and counts
  // only itself, so that each VM uses a multiple of its share of common limits.
  it("accepts a lower number of VMs only after a delay", async () => {
    const rig = FleetRig.manual(12);
    rig.view.setVms(1);
    assert.equal(rig.view.vms, 12);
    rig.view.setVms(14);
    assert.equal(rig.view.vms, 14);
    await rig.clock.advance(11_000);
    rig.view.setVms(11);
    assert.equal(rig.view.vms, 11);
  });

  // Guards against owners of keys that are never updated again, as the versions
  // of a restored store are lower than the known one.
  it("takes the owners of keys of a later era of the store", () => {
    const { view } = FleetRig.manual();
    const table = (version: number, nextFence: number, era: number) =>
      new RangeTable(version, { schema: 1, nextFence, ranges: [] }, era);
    view.setRanges("s", table(100, 20, 0));
    view.setRanges("s", table(40, 10, 1));
    assert.equal(view.ranges("s")?.version, 40);
    view.setRanges("s", table(101, 21, 0));
    assert.equal(view.ranges("s")?.version, 40);
    assert.equal(view.nextFence("s"), 21);
  });

  // Guards against removing running upstreams that registered after the copy was
  // taken, and against replacing a process by its predecessor.
  it("keeps upstreams that a restored registry lacks until they register", async () => {
    const rig = FleetRig.manual();
    for (let n = 0; n < 10; n++) rig.upstream({ id: `u-${n}`, incarnation: 2 });
    const restored = [...rig.view.upstreams].map(({ entry }) => entry)
      .filter(({ id }) => id !== "u-3")
      .map((entry) =>
        entry.id === "u-4" ? { ...entry, incarnation: 1 } : entry
      );
    rig.reconnect();
    rig.view.setRegistry(restored, {
      source: "whole_read",
      latenessMs: 0,
      restored: true,
    });
    for (const id of ["u-3", "u-4"]) {
      const upstream = rig.view.upstream(id);
      assert.equal(upstream?.entry.incarnation, 2);
      assert.ok(rig.view.isUsable(upstream), `${id} is not usable`);
    }
    await rig.clock.advance(2500);
    rig.view.removeMissing();
    assert.equal(rig.view.upstream("u-3"), undefined);
  });
});
