import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RangeRig } from "../support/range_rig.ts";

const IDS = ["u-1", "u-2", "u-3", "u-4"];

async function started(rig: RangeRig) {
  const one = rig.candidate("vm-1", IDS);
  void one.lease.run();
  void one.ranges.run(one.end.signal);
  await rig.pass(3000);
  assert.equal(rig.heldOnce(), 1);
  return one;
}

describe("ServiceRanges", () => {
  // Guards: an unreadable row passes for none, and fencing tokens start anew.
  it("writes nothing over a row that it cannot read", async () => {
    const rig = new RangeRig();
    rig.store.put("ranges", "ledger", '{"schema":2}');
    const one = rig.candidate("vm-1", IDS);
    void one.lease.run();
    void one.ranges.run(one.end.signal);
    await rig.pass(3000);
    assert.equal(rig.upstreams.grants, 0);
    const row = [...rig.store.rows.values()].find(({ key }) =>
      key === "ledger"
    );
    assert.equal(Buffer.from(row?.value ?? []).toString(), '{"schema":2}');
    one.end.abort();
  });

  // Guards: a leader that cannot reach the store stops renewing, and all keys
  // lapse although their owners are well.
  for (const fault of ["down", "silent", "lost"] as const) {
    it(`keeps all keys held while the store is ${fault}`, async () => {
      const rig = new RangeRig();
      const one = await started(rig);
      rig.store.fault = fault;
      // A change that has to be written, so that the write fails.
      rig.register(one.view, "u-4", "draining");
      for (let s = 0; s < 9; s++) {
        await rig.pass(1000);
        assert.equal(rig.heldOnce(), 1, `after ${s + 1} s`);
      }
      rig.store.fault = "none";
      await rig.pass(5000);
      assert.equal(rig.heldOnce(), 1);
      assert.deepEqual(rig.upstreams.conflicts, []);
      one.end.abort();
    });
  }

  it("moves the keys of a leaving upstream without two owners", async () => {
    const rig = new RangeRig();
    const one = await started(rig);
    rig.register(one.view, "u-2", "draining");
    await rig.pass(1500);
    assert.equal(rig.heldOnce(), 1);
    for (let key = 0; key < 65_536; key += 512) {
      assert.ok(!rig.upstreams.holders(key).includes("u-2"));
    }
    assert.deepEqual(rig.upstreams.conflicts, []);
    one.end.abort();
  });

  // Guards: keys of a lost owner are given away before its lease has ended, or
  // stay without an owner for long after.
  it("gives the keys of a lost upstream away when its lease has ended", async () => {
    const rig = new RangeRig();
    const one = await started(rig);
    rig.upstreams.dark.add("u-3");
    await rig.pass(2600);
    one.view.removeUpstreams(["u-3"]);
    await rig.pass(4500);
    assert.equal(rig.heldOnce(), 1);
    assert.deepEqual(rig.upstreams.conflicts, []);
    one.end.abort();
  });

  // Guards: an upstream starts again under its id and address, and takes
  // renewals that are meant for its former life; the leader then hears of the
  // new life, believes that it holds nothing, and gives the keys to others.
  it("takes keys back that a new life got by a renewal", async () => {
    const rig = new RangeRig();
    const one = await started(rig);
    rig.upstreams.restart("u-3");
    await rig.pass(1500);
    rig.register(one.view, "u-3", "ready", 2);
    await rig.pass(3000);
    assert.deepEqual(rig.upstreams.conflicts, []);
    assert.equal(rig.heldOnce(), 1);
    one.end.abort();
  });

  // The same, and nobody reaches the new life to take the keys back.
  it("counts out what a new life got by a renewal", async () => {
    const rig = new RangeRig();
    const one = await started(rig);
    rig.upstreams.restart("u-3");
    await rig.pass(1500);
    rig.upstreams.dark.add("u-3");
    rig.register(one.view, "u-3", "draining", 2);
    await rig.pass(6000);
    assert.deepEqual(rig.upstreams.conflicts, []);
    assert.equal(rig.heldOnce(), 1);
    one.end.abort();
  });

  // Guards: a leader that is cut off from the store and its successor give the
  // same keys to two owners.
  it("lets a second keeper take over while the first still renews", async () => {
    const rig = new RangeRig();
    const one = await started(rig);
    // The first leader is alone with its fault.
    const cut = rig.candidate("vm-2", IDS);
    const { store } = rig;
    const real = store.transact.bind(store);
    store.transact = (transaction, signal) => {
      const text = Buffer.from(transaction.writes[0]?.value ?? []).toString();
      if (text.includes("vm-1")) {
        store.fault = "down";
        const failed = real(transaction, signal);
        store.fault = "none";
        return failed;
      }
      return real(transaction, signal);
    };
    void cut.lease.run();
    for (let look = 0; look < 10; look++) {
      if (!cut.lease.held) cut.lease.onLeaderUnreachable();
      await rig.pass(400);
    }
    assert.ok(cut.lease.held);
    void cut.ranges.run(cut.end.signal);
    rig.register(cut.view, "u-1", "draining");
    for (let s = 0; s < 6; s++) {
      await rig.pass(1000);
      assert.deepEqual(rig.upstreams.conflicts, [], `after ${s + 1} s`);
    }
    assert.equal(rig.heldOnce(), 1);
    // The first leader reaches the store again and sees an upstream leave.
    store.transact = real;
    rig.register(one.view, "u-2", "draining");
    for (let step = 0; step < 30; step++) {
      await rig.pass(100);
      assert.deepEqual(rig.upstreams.conflicts, [], `${step} after return`);
    }
    assert.ok(!one.lease.held);
    one.end.abort();
    cut.end.abort();
  });
});
