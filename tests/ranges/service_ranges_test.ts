import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RangeRig } from "../support/range_rig.ts";

const IDS = ["u-1", "u-2", "u-3", "u-4"];

async function startLeader(rig: RangeRig) {
  const leader = rig.addCandidate("vm-1", IDS);
  void leader.lease.run();
  void leader.ranges.run(leader.end.signal);
  await rig.advance(3000);
  assert.equal(rig.fractionHeldOnce(), 1);
  return leader;
}

/**
 * Fails the writes of the lease row by one VM.
 *
 * @returns a function that ends the fault
 */
function cutOffFromStore({ store }: RangeRig, vm: string): () => void {
  const real = store.transact.bind(store);
  store.transact = (transaction, signal) => {
    const text = Buffer.from(transaction.writes[0]?.value ?? []).toString();
    if (!text.includes(`"schema":1,"vm":"${vm}"`)) {
      return real(transaction, signal);
    }
    store.fault = "down";
    const failed = real(transaction, signal);
    store.fault = "none";
    return failed;
  };
  return () => {
    store.transact = real;
  };
}

type Candidate = ReturnType<RangeRig["addCandidate"]>;

/** Makes a VM the leader while the present one cannot renew the lease. */
async function takeOver(rig: RangeRig, { lease, ranges, end }: Candidate) {
  void lease.run();
  for (let attempt = 0; attempt < 10; attempt++) {
    if (!lease.held) lease.onLeaderUnreachable();
    await rig.advance(400);
  }
  assert.ok(lease.held);
  void ranges.run(end.signal);
}

describe("ServiceRanges", () => {
  // Guards against treating an unreadable row as absent, so that fencing tokens
  // are used again.
  it("does not overwrite a row that it cannot read", async () => {
    const rig = new RangeRig();
    rig.store.put("ranges", "ledger", '{"schema":2}');
    const leader = rig.addCandidate("vm-1", IDS);
    void leader.lease.run();
    void leader.ranges.run(leader.end.signal);
    await rig.advance(3000);
    assert.equal(rig.upstreams.grantCount, 0);
    const row = [...rig.store.rows.values()].find(({ key }) =>
      key === "ledger"
    );
    assert.equal(Buffer.from(row?.value ?? []).toString(), '{"schema":2}');
    leader.end.abort();
  });

  // Guards against a leader that stops renewing grants when it cannot reach the
  // store, so that all grants expire although their owners are healthy.
  for (const fault of ["down", "silent", "lost"] as const) {
    it(`keeps all keys held while the store is ${fault}`, async () => {
      const rig = new RangeRig();
      const leader = await startLeader(rig);
      rig.store.fault = fault;
      // The owners change, so that a write to the store is attempted.
      rig.register(leader.view, "u-4", "draining");
      for (let s = 0; s < 9; s++) {
        await rig.advance(1000);
        assert.equal(rig.fractionHeldOnce(), 1, `after ${s + 1} s`);
      }
      rig.store.fault = "none";
      await rig.advance(5000);
      assert.equal(rig.fractionHeldOnce(), 1);
      assert.deepEqual(rig.upstreams.overlaps, []);
      leader.end.abort();
    });
  }

  // Guards against keys that stay with an upstream of which only an answer says
  // that it leaves, because its registry entry is late or never says so.
  it("moves the keys of an upstream that says in an answer that it leaves", async () => {
    const rig = new RangeRig();
    const leader = await startLeader(rig);
    rig.upstreams.leaving.add("u-2");
    // A third of the lease until the next renewal, then the move.
    await rig.advance(2500);
    // An older entry does not bring it back.
    rig.register(leader.view, "u-2", "ready");
    await rig.advance(1500);
    for (let key = 0; key < 65_536; key += 1024) {
      assert.ok(!rig.upstreams.holders(key).includes("u-2"));
    }
    assert.equal(rig.fractionHeldOnce(), 1);
    assert.deepEqual(rig.upstreams.overlaps, []);
    leader.end.abort();
  });

  it("moves the keys of a draining upstream without ever having two owners", async () => {
    const rig = new RangeRig();
    const leader = await startLeader(rig);
    rig.register(leader.view, "u-2", "draining");
    await rig.advance(1500);
    assert.equal(rig.fractionHeldOnce(), 1);
    for (let key = 0; key < 65_536; key += 512) {
      assert.ok(!rig.upstreams.holders(key).includes("u-2"));
    }
    assert.deepEqual(rig.upstreams.overlaps, []);
    leader.end.abort();
  });

  // Guards against granting keys of a lost owner to others before its lease has
  // expired, and against leaving them without an owner 4.5 s after its removal.
  it("reassigns the keys of a lost upstream once its lease has expired", async () => {
    const rig = new RangeRig();
    const leader = await startLeader(rig);
    rig.upstreams.down.add("u-3");
    await rig.advance(2600);
    leader.view.removeUpstreams(["u-3"]);
    await rig.advance(4500);
    assert.equal(rig.fractionHeldOnce(), 1);
    assert.deepEqual(rig.upstreams.overlaps, []);
    leader.end.abort();
  });

  // Guards against keys with two owners: an upstream restarts under the same id
  // and address and accepts renewals meant for its previous incarnation. The
  // leader then sees the new incarnation, assumes that it holds no keys, and
  // grants them to others.
  it("releases keys that a new incarnation got by a renewal", async () => {
    const rig = new RangeRig();
    const leader = await startLeader(rig);
    rig.upstreams.restart("u-3");
    await rig.advance(1500);
    rig.register(leader.view, "u-3", "ready", 2);
    await rig.advance(3000);
    assert.deepEqual(rig.upstreams.overlaps, []);
    assert.equal(rig.fractionHeldOnce(), 1);
    leader.end.abort();
  });

  // The same, but the new incarnation is unreachable, so the keys cannot be
  // released.
  it("waits for leases that a new incarnation got by a renewal", async () => {
    const rig = new RangeRig();
    const leader = await startLeader(rig);
    rig.upstreams.restart("u-3");
    await rig.advance(1500);
    rig.upstreams.down.add("u-3");
    rig.register(leader.view, "u-3", "draining", 2);
    await rig.advance(6000);
    assert.deepEqual(rig.upstreams.overlaps, []);
    assert.equal(rig.fractionHeldOnce(), 1);
    leader.end.abort();
  });

  // Guards against keys with two owners: a leader that cannot reach the store
  // renews its grants at an upstream that has restarted, and so has forgotten
  // the higher tokens with which a successor moved the keys.
  for (const leaveMs of [0, 400, 800, 1200]) {
    it(`renews no old grants at upstreams that left after ${leaveMs} ms and restart`, async () => {
      const ids = ["u-1", "u-2", "u-3"];
      const rig = new RangeRig();
      const first = await startLeader(rig);
      const restoreStore = cutOffFromStore(rig, "vm-1");
      const second = rig.addCandidate("vm-2", IDS);
      await takeOver(rig, second);
      await rig.advance(leaveMs);
      for (const id of ids) rig.register(second.view, id, "draining");
      await rig.advance(600);
      assert.ok(first.lease.maySendOrders);
      for (const id of ids) rig.upstreams.restart(id);
      await rig.advance(4000);
      assert.deepEqual(rig.upstreams.overlaps, []);
      for (let key = 0; key < 65_536; key += 1024) {
        const holders = rig.upstreams.holders(key);
        assert.equal(holders.length, 1, `key ${key} at ${holders.join()}`);
        assert.ok(!ids.includes(holders[0]!), `key ${key} at ${holders[0]}`);
      }
      restoreStore();
      first.end.abort();
      second.end.abort();
    });
  }

  // The other side: a restarted upstream gets its keys as soon as the lease is
  // confirmed again.
  it("renews grants at a restarted upstream after an outage of the store", async () => {
    const rig = new RangeRig();
    const leader = await startLeader(rig);
    rig.store.fault = "down";
    await rig.advance(2000);
    rig.upstreams.restart("u-2");
    await rig.advance(2000);
    assert.ok(rig.fractionHeldOnce() < 1);
    rig.store.fault = "none";
    await rig.advance(2000);
    assert.equal(rig.fractionHeldOnce(), 1);
    leader.end.abort();
  });

  // Guards against keys with two owners: a leader without the store renews the
  // lease of an upstream that its successor cannot reach. When the earlier
  // leader stops, the successor must wait for the leases granted until then.
  const stops = [
    {
      name: "steps down",
      stop: ({ lease }: Candidate, successor: Candidate) => {
        assert.ok(lease.stepDown());
        successor.lease.onEarlierLeaderStopped("vm-1-1");
      },
    },
    {
      name: "has ended and was replaced",
      stop: ({ end }: Candidate, successor: Candidate) => {
        end.abort();
        successor.lease.onEarlierLeaderStopped("vm-1-1");
      },
    },
  ];
  for (const { name, stop } of stops) {
    for (const afterMs of [1000, 3000, 6000]) {
      it(`waits for leases of an earlier leader that ${name} after ${afterMs} ms`, async () => {
        const rig = new RangeRig();
        const first = await startLeader(rig);
        const restoreStore = cutOffFromStore(rig, "vm-1");
        const second = rig.addCandidate("vm-2", IDS);
        rig.upstreams.cutOff.set("vm-2", new Set(["u-2"]));
        await takeOver(rig, second);
        second.view.removeUpstreams(["u-2"]);
        await rig.advance(afterMs);
        assert.ok(first.lease.maySendOrders);
        stop(first, second);
        first.end.abort();
        await rig.advance(6000);
        assert.deepEqual(rig.upstreams.overlaps, []);
        assert.equal(rig.fractionHeldOnce(), 1);
        restoreStore();
        second.end.abort();
      });
    }
  }

  // Guards against keys with two owners: a grant that a killed leader has sent is
  // delivered after a partition. The upstream must have been sent the higher
  // token with which its keys have moved meanwhile, also by a later leader.
  for (const leader of ["the leader that moved them", "its successor"]) {
    it(`sends the token of moved keys to an owner that returns, from ${leader}`, async () => {
      const rig = new RangeRig();
      const first = await startLeader(rig);
      rig.upstreams.late.set("vm-1", new Set(["u-2"]));
      await rig.advance(1400);
      first.end.abort();
      let last = rig.addCandidate("vm-2", IDS);
      rig.upstreams.cutOff.set("vm-2", new Set(["u-2"]));
      await takeOver(rig, last);
      last.view.removeUpstreams(["u-2"]);
      last.lease.onEarlierLeaderStopped("vm-1-1");
      await rig.advance(6000);
      assert.equal(rig.fractionHeldOnce(), 1);
      if (leader === "its successor") {
        last.end.abort();
        last = rig.addCandidate("vm-3", IDS);
        last.view.removeUpstreams(["u-2"]);
        await takeOver(rig, last);
      }
      rig.upstreams.cutOff.clear();
      rig.register(last.view, "u-2");
      await rig.advance(200);
      rig.upstreams.deliverLateGrants();
      assert.deepEqual(rig.upstreams.overlaps, []);
      await rig.advance(6000);
      assert.deepEqual(rig.upstreams.overlaps, []);
      assert.equal(rig.fractionHeldOnce(), 1);
      last.end.abort();
    });
  }

  // Guards against keys with two owners: the same, but the keys are on their way
  // from one upstream, which cannot be reached, to another when the late grant is
  // delivered to an earlier owner.
  for (const to of ["u-4", "u-2"]) {
    it(`sends the token of keys that move to ${to} to u-2, which returns`, async () => {
      const rig = new RangeRig();
      const first = await startLeader(rig);
      rig.upstreams.late.set("vm-1", new Set(["u-2"]));
      await rig.advance(1400);
      first.end.abort();
      const last = rig.addCandidate("vm-2", ["u-1", "u-3"]);
      rig.upstreams.cutOff.set("vm-2", new Set(["u-2"]));
      await takeOver(rig, last);
      last.lease.onEarlierLeaderStopped("vm-1-1");
      await rig.advance(6000);
      assert.equal(rig.fractionHeldOnce(), 1);
      // The owners of the keys can no longer be reached, but run on.
      rig.upstreams.cutOff.set("vm-2", new Set(["u-1", "u-2", "u-3"]));
      last.view.removeUpstreams(["u-1", "u-3"]);
      rig.register(last.view, to);
      await rig.advance(1000);
      rig.upstreams.cutOff.set("vm-2", new Set(["u-1", "u-3"]));
      rig.register(last.view, "u-2");
      await rig.advance(500);
      rig.upstreams.deliverLateGrants();
      assert.deepEqual(rig.upstreams.overlaps, []);
      await rig.advance(6000);
      assert.deepEqual(rig.upstreams.overlaps, []);
      assert.equal(rig.fractionHeldOnce(), 1);
      last.end.abort();
    });
  }

  // Guards against a leader that completes a move after its time to send orders
  // has ended, while its successor assigns the same keys.
  it("grants no moved keys once it may send no orders", async () => {
    const rig = new RangeRig();
    const leader = await startLeader(rig);
    rig.upstreams.busy.add("u-2");
    rig.register(leader.view, "u-2", "draining");
    await rig.advance(600);
    rig.store.fault = "down";
    await rig.advance(13_000);
    assert.ok(!leader.lease.maySendOrders);
    const stoppedAt = rig.clock.now();
    rig.upstreams.busy.delete("u-2");
    await rig.advance(5000);
    const lastGrantAt = rig.upstreams.lastGrantAt.get("vm-1") ?? 0;
    assert.ok(lastGrantAt < stoppedAt, `${lastGrantAt - stoppedAt} ms after`);
    leader.end.abort();
  });

  // Guards against keys with two owners, granted by a leader that cannot reach
  // the store and by its successor.
  it("lets a second leader take over while the first still renews grants", async () => {
    const rig = new RangeRig();
    const leader = await startLeader(rig);
    // Only the first leader cannot reach the store.
    const second = rig.addCandidate("vm-2", IDS);
    const restoreStore = cutOffFromStore(rig, "vm-1");
    await takeOver(rig, second);
    rig.register(second.view, "u-1", "draining");
    for (let s = 0; s < 6; s++) {
      await rig.advance(1000);
      assert.deepEqual(rig.upstreams.overlaps, [], `after ${s + 1} s`);
    }
    assert.equal(rig.fractionHeldOnce(), 1);
    // The first leader reaches the store again and sees an upstream drain.
    restoreStore();
    rig.register(leader.view, "u-2", "draining");
    for (let step = 0; step < 30; step++) {
      await rig.advance(100);
      assert.deepEqual(rig.upstreams.overlaps, [], `${step} after return`);
    }
    assert.ok(!leader.lease.held);
    leader.end.abort();
    second.end.abort();
  });
});
