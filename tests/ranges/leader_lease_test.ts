import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LeaderLease } from "../../src/ranges/leader_lease.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { MemoryRowStore } from "../../dev/standins/memory_row_store.ts";
import { silentLogger } from "../support/silent_logger.ts";

/** A clock whose time of day can run ahead, as after a suspension. */
class SuspendedClock extends ManualClock {
  suspendedMs = 0;

  override wallTime(): Date {
    return new Date(super.wallTime().getTime() + this.suspendedMs);
  }
}

function rig() {
  const clock = new SuspendedClock();
  const store = new MemoryRowStore(clock);
  const leases: AbortController[] = [];
  const start = (vm: string, incarnation = `${vm}-1`, cores?: number) => {
    const end = new AbortController();
    leases.push(end);
    const lease = new LeaderLease({
      store,
      table: "keeper",
      self: { vm, incarnation, peerUrl: `http://${vm}` },
      cores,
      clock,
      logger: silentLogger(),
      signal: end.signal,
    });
    void lease.run();
    return { lease, stop: () => end.abort() };
  };
  const pass = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) await clock.advance(50);
  };
  /** The leader does not answer the reports of `lease`. */
  const reportUnreachableFor = async (lease: LeaderLease, ms: number) => {
    for (let passed = 0; passed < ms && !lease.held; passed += 400) {
      lease.onLeaderUnreachable();
      await pass(400);
    }
  };
  return { clock, store, start, pass, reportUnreachableFor };
}

describe("LeaderLease", () => {
  it("goes to one of two VMs that start together", async () => {
    const { start, pass } = rig();
    const one = start("vm-1");
    const two = start("vm-2");
    await pass(1000);
    assert.equal([one, two].filter(({ lease }) => lease.held).length, 1);
  });

  // Guards: a leader that is cut off goes on renewing; its successor gives the
  // lease up soon, and the next leader takes it that nobody sends orders.
  it("hands over how long an earlier keeper may send orders", async () => {
    const { start, pass, reportUnreachableFor } = rig();
    const cutOff = start("vm-1");
    await pass(200);
    assert.ok(cutOff.lease.held);
    cutOff.stop();
    const second = start("vm-2");
    await reportUnreachableFor(second.lease, 4000);
    const endsAt = second.lease.predecessorEndsAt;
    assert.ok(second.lease.held);
    await second.lease.release();
    second.stop();
    const third = start("vm-3");
    await reportUnreachableFor(third.lease, 6000);
    assert.ok(third.lease.held);
    assert.ok(third.lease.predecessorEndsAt >= endsAt);
    third.stop();
  });

  // The same, and the successor ends without notice and starts again.
  it("counts out an earlier keeper although its successor has yielded", async () => {
    const { start, pass, reportUnreachableFor } = rig();
    const cutOff = start("vm-1");
    await pass(200);
    cutOff.stop();
    const second = start("vm-2");
    await reportUnreachableFor(second.lease, 4000);
    assert.ok(second.lease.held);
    const endsAt = second.lease.predecessorEndsAt;
    second.stop();
    const third = start("vm-3");
    await reportUnreachableFor(third.lease, 6000);
    assert.ok(third.lease.held);
    third.lease.onPeer("vm-2", "vm-2-2");
    assert.ok(third.lease.predecessorEndsAt >= endsAt);
    third.stop();
  });

  it("is taken at once when a keeper without predecessor gives it up", async () => {
    const { start, pass } = rig();
    const first = start("vm-1");
    await pass(200);
    await first.lease.release();
    first.stop();
    const second = start("vm-2");
    await pass(300);
    assert.ok(second.lease.held);
    assert.ok(second.lease.predecessorEndsAt <= 600);
  });

  it("is taken by a small VM as well when it was given up", async () => {
    const { start, pass } = rig();
    const first = start("vm-1");
    await pass(200);
    await first.lease.release();
    first.stop();
    const second = start("vm-2", "vm-2-1", 0.27);
    await pass(1300);
    assert.ok(second.lease.held);
    second.stop();
  });

  // The pattern: many VMs of uneven size. Guards against a leader whose reports
  // and grants take more processor time than its VM has.
  it("goes to a larger VM that starts a little later", async () => {
    const { start, pass } = rig();
    const small = start("vm-1", "vm-1-1", 0.27);
    await pass(200);
    const large = start("vm-2", "vm-2-1", 1.35);
    await pass(1500);
    assert.ok(!small.lease.held);
    assert.ok(large.lease.held);
  });

  it("goes to a small VM if there is no other", async () => {
    const { start, pass } = rig();
    const small = start("vm-1", "vm-1-1", 0.27);
    await pass(1500);
    assert.ok(small.lease.held);
  });

  it("goes to another VM within 3 s of the keeper's loss", async () => {
    const { start, pass, reportUnreachableFor } = rig();
    const one = start("vm-1");
    await pass(200);
    const two = start("vm-2");
    await pass(500);
    one.stop();
    await reportUnreachableFor(two.lease, 3000);
    assert.ok(two.lease.held);
    // The lost leader's last orders are not counted out yet.
    assert.ok(two.lease.predecessorEndsAt > 0);
  });

  it("stays with a keeper that is suspected but renews", async () => {
    const { start, pass, reportUnreachableFor } = rig();
    const one = start("vm-1");
    await pass(200);
    const two = start("vm-2");
    await reportUnreachableFor(two.lease, 8000);
    assert.ok(one.lease.held);
    assert.ok(!two.lease.held);
  });

  it("returns at once to the keeper's VM when that restarts", async () => {
    const { clock, start, pass } = rig();
    const one = start("vm-1");
    await pass(200);
    one.stop();
    const again = start("vm-1", "vm-1-2");
    await pass(200);
    assert.ok(again.lease.held);
    assert.ok(again.lease.predecessorEndsAt <= clock.now());
  });

  it("is free when it was given up", async () => {
    const { start, pass } = rig();
    const one = start("vm-1");
    await pass(200);
    await one.lease.release();
    one.stop();
    const two = start("vm-2");
    await pass(100);
    assert.ok(two.lease.held);
  });

  // Guards: a leader that was frozen sends orders on a lease that another VM
  // has had since; monotonic time does not count a suspension.
  it("sends no orders after a suspension until it is confirmed", async () => {
    const { clock, start, pass } = rig();
    const one = start("vm-1");
    await pass(200);
    assert.ok(one.lease.mayOrder);
    clock.suspendedMs = 5000;
    assert.ok(!one.lease.mayOrder);
    await pass(1000);
    assert.ok(one.lease.mayOrder);
  });

  it("is not confirmed while the store is away, but goes on", async () => {
    const { store, start, pass } = rig();
    const one = start("vm-1");
    await pass(200);
    store.fault = "down";
    await pass(3000);
    assert.ok(!one.lease.confirmed);
    assert.ok(one.lease.mayOrder);
    await pass(12_000);
    assert.ok(!one.lease.mayOrder);
  });

  it("survives a renewal whose answer was lost", async () => {
    const { store, start, pass } = rig();
    const one = start("vm-1");
    await pass(200);
    store.fault = "lost";
    await pass(1200);
    store.fault = "none";
    await pass(1200);
    assert.ok(one.lease.held);
    assert.ok(one.lease.confirmed);
  });

  it("ends for a keeper that yields to its successor", async () => {
    const { store, start, pass } = rig();
    const one = start("vm-1");
    await pass(200);
    assert.ok(!one.lease.stepDown(), "a confirmed keeper does not yield");
    store.fault = "down";
    await pass(3000);
    assert.ok(one.lease.stepDown());
    assert.ok(!one.lease.held);
  });
});
