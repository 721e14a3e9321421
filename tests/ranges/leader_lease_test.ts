import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ResultAsync } from "neverthrow";
import { LeaderLease } from "../../src/ranges/leader_lease.ts";
import type { RowStoreError } from "../../src/rows/row_store_error.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { MemoryRowStore } from "../../dev/standins/memory_row_store.ts";
import { silentLogger } from "../support/silent_logger.ts";

/** A clock whose wall time can jump ahead, as after a suspension. */
class SuspendedClock extends ManualClock {
  suspendedMs = 0;

  override wallTime(): Date {
    return new Date(super.wallTime().getTime() + this.suspendedMs);
  }
}

function createRig() {
  const clock = new SuspendedClock();
  const store = new MemoryRowStore(clock);
  const leases: AbortController[] = [];
  const lines: Parameters<typeof silentLogger>[0] = [];
  const start = (vm: string, incarnation = `${vm}-1`, cores?: number) => {
    const end = new AbortController();
    leases.push(end);
    const lease = new LeaderLease({
      store,
      table: "keeper",
      self: { vm, incarnation, peerUrl: `http://${vm}` },
      cores,
      clock,
      logger: silentLogger(lines),
      signal: end.signal,
    });
    void lease.run();
    return { lease, stop: () => end.abort() };
  };
  const advance = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) await clock.advance(50);
  };
  /** Reports to the leader fail for `ms`, or until `lease` is held. */
  const reportUnreachableFor = async (lease: LeaderLease, ms: number) => {
    for (let passed = 0; passed < ms && !lease.held; passed += 400) {
      lease.onLeaderUnreachable();
      await advance(400);
    }
  };
  return { clock, store, start, advance, reportUnreachableFor, lines };
}

describe("LeaderLease", () => {
  it("is acquired by one of two VMs that start at the same time", async () => {
    const { start, advance } = createRig();
    const one = start("vm-1");
    const two = start("vm-2");
    await advance(1000);
    assert.equal([one, two].filter(({ lease }) => lease.held).length, 1);
  });

  // Guards against a new leader that gives out what its predecessor may have
  // given out.
  it("is a first term only for the first leader", async () => {
    const { start, advance, reportUnreachableFor } = createRig();
    const one = start("vm-1");
    await advance(1000);
    assert.equal(one.lease.term?.isFirst, true);
    one.stop();
    const two = start("vm-2");
    await reportUnreachableFor(two.lease, 5000);
    assert.equal(two.lease.term?.isFirst, false);
    assert.equal(two.lease.term.startedAt > 1000, true);
    two.stop();
    const again = start("vm-1", "vm-1-2");
    await reportUnreachableFor(again.lease, 5000);
    assert.equal(again.lease.term?.isFirst, false);
    again.stop();
  });

  // Guards against a third leader that assumes that no one else sends orders:
  // the first leader cannot reach the store but still renews grants, and its
  // successor releases the lease soon.
  it("passes on how long an earlier leader may send orders", async () => {
    const { start, advance, reportUnreachableFor } = createRig();
    const cutOff = start("vm-1");
    await advance(200);
    assert.ok(cutOff.lease.held);
    cutOff.stop();
    const second = start("vm-2");
    await reportUnreachableFor(second.lease, 4000);
    const endsAt = second.lease.predecessorOrdersEndAt;
    assert.ok(second.lease.held);
    await second.lease.release();
    second.stop();
    const third = start("vm-3");
    await reportUnreachableFor(third.lease, 6000);
    assert.ok(third.lease.held);
    assert.ok(third.lease.predecessorOrdersEndAt >= endsAt);
    third.stop();
  });

  // The same, but the successor stops without releasing the lease and restarts.
  it("waits for an earlier leader although its successor has restarted", async () => {
    const { start, advance, reportUnreachableFor } = createRig();
    const cutOff = start("vm-1");
    await advance(200);
    cutOff.stop();
    const second = start("vm-2");
    await reportUnreachableFor(second.lease, 4000);
    assert.ok(second.lease.held);
    const endsAt = second.lease.predecessorOrdersEndAt;
    second.stop();
    const third = start("vm-3");
    await reportUnreachableFor(third.lease, 6000);
    assert.ok(third.lease.held);
    third.lease.onEarlierLeaderStopped("vm-2-1");
    assert.ok(third.lease.predecessorOrdersEndAt >= endsAt);
    third.stop();
  });

  // Guards against an earlier leader that nobody asks to step down, since its
  // successor has restarted or released the lease.
  for (const end of ["is killed and restarts", "releases the lease"] as const) {
    it(`names the first leader after its successor ${end}`, async () => {
      const { clock, start, advance, reportUnreachableFor } = createRig();
      const cutOff = start("vm-1");
      await advance(200);
      cutOff.stop();
      const second = start("vm-2");
      await reportUnreachableFor(second.lease, 4000);
      assert.ok(second.lease.held);
      if (end === "releases the lease") await second.lease.release();
      second.stop();
      const third = start("vm-2", "vm-2-2");
      await advance(400);
      assert.ok(third.lease.held);
      assert.deepEqual(
        third.lease.activeEarlierLeaders.map(({ peerUrl }) => peerUrl),
        ["http://vm-1"],
      );
      assert.ok(third.lease.predecessorOrdersEndAt > clock.now());
      third.lease.onEarlierLeaderStopped("vm-1-1");
      assert.deepEqual(third.lease.activeEarlierLeaders, []);
      assert.ok(third.lease.predecessorOrdersEndAt <= clock.now());
      third.stop();
    });
  }

  // Guards against a row of many leaders in a row that is read as malformed.
  it("waits for more earlier leaders than the row names", async () => {
    const { clock, start, advance, reportUnreachableFor } = createRig();
    let last = start("vm-0");
    await advance(200);
    for (let n = 1; n <= 10; n++) {
      const next = start(`vm-${n}`);
      last.stop();
      await reportUnreachableFor(next.lease, 4000);
      assert.ok(next.lease.held, `vm-${n}`);
      assert.ok(next.lease.predecessorOrdersEndAt > clock.now() + 9000);
      last = next;
    }
    last.stop();
  });

  // Guards against a new leader that assumes that no one else sends orders
  // because another writer has spoiled the row of the present one.
  const spoiled = [
    "{]",
    "[".repeat(10_000),
    JSON.stringify({
      schema: 1,
      vm: "vm-1",
      incarnation: "vm-1-1",
      peerUrl: "http://vm-1",
      released: true,
      earlierOrdersMs: 1e300,
    }),
  ];
  for (const value of spoiled) {
    it(`waits for the orders of an unknown leader after ${value.slice(0, 9)}`, async () => {
      const { clock, store, start, advance, reportUnreachableFor } =
        createRig();
      const first = start("vm-1");
      await advance(200);
      first.stop();
      store.put("keeper", "keeper", value);
      const second = start("vm-2");
      await advance(200);
      assert.ok(!second.lease.held);
      await reportUnreachableFor(second.lease, 6000);
      assert.ok(second.lease.held);
      assert.ok(second.lease.predecessorOrdersEndAt > clock.now() + 9000);
      second.stop();
    });
  }

  it("is acquired within 300 ms after a leader without predecessor releases it", async () => {
    const { start, advance } = createRig();
    const first = start("vm-1");
    await advance(200);
    await first.lease.release();
    first.stop();
    const second = start("vm-2");
    await advance(300);
    assert.ok(second.lease.held);
    assert.ok(second.lease.predecessorOrdersEndAt <= 600);
  });

  it("is acquired by a small VM after it was released", async () => {
    const { start, advance } = createRig();
    const first = start("vm-1");
    await advance(200);
    await first.lease.release();
    first.stop();
    const second = start("vm-2", "vm-2-1", 0.27);
    await advance(1300);
    assert.ok(second.lease.held);
    second.stop();
  });

  // Load pattern: many VMs of different sizes. Guards against a leader whose VM
  // has too little processor time to handle reports and grants.
  it("is acquired by a larger VM that starts shortly after a small one", async () => {
    const { start, advance } = createRig();
    const small = start("vm-1", "vm-1-1", 0.27);
    await advance(200);
    const large = start("vm-2", "vm-2-1", 1.35);
    await advance(1500);
    assert.ok(!small.lease.held);
    assert.ok(large.lease.held);
  });

  it("is acquired by a small VM if there is no other", async () => {
    const { start, advance } = createRig();
    const small = start("vm-1", "vm-1-1", 0.27);
    await advance(1500);
    assert.ok(small.lease.held);
  });

  it("is acquired by another VM within 3 s of the leader's loss", async () => {
    const { start, advance, reportUnreachableFor } = createRig();
    const one = start("vm-1");
    await advance(200);
    const two = start("vm-2");
    await advance(500);
    one.stop();
    await reportUnreachableFor(two.lease, 3000);
    assert.ok(two.lease.held);
    // The lost leader may still send orders.
    assert.ok(two.lease.predecessorOrdersEndAt > 0);
  });

  it("stays with a leader that is suspected unreachable but renews it", async () => {
    const { start, advance, reportUnreachableFor } = createRig();
    const one = start("vm-1");
    await advance(200);
    const two = start("vm-2");
    await reportUnreachableFor(two.lease, 8000);
    assert.ok(one.lease.held);
    assert.ok(!two.lease.held);
  });

  it("is acquired by the leader's VM within 200 ms after it restarts", async () => {
    const { clock, start, advance } = createRig();
    const one = start("vm-1");
    await advance(200);
    one.stop();
    const again = start("vm-1", "vm-1-2");
    await advance(200);
    assert.ok(again.lease.held);
    assert.ok(again.lease.predecessorOrdersEndAt <= clock.now());
  });

  it("is acquired within 100 ms after it was released", async () => {
    const { start, advance } = createRig();
    const one = start("vm-1");
    await advance(200);
    await one.lease.release();
    one.stop();
    const two = start("vm-2");
    await advance(100);
    assert.ok(two.lease.held);
  });

  // Guards against a leader that counts itself as confirmed while its successor
  // assigns keys, since the store's answer to its acquisition is late.
  it("is not confirmed for longer than its TTL after the call that acquired it", async () => {
    const { clock, store, start, advance } = createRig();
    const transact = store.transact.bind(store);
    store.transact = (transaction, signal) => {
      const applied = transact(transaction, signal);
      return new ResultAsync(clock.sleep(1200).then(() => applied));
    };
    const one = start("vm-1");
    await advance(1250);
    assert.ok(one.lease.held);
    assert.ok(one.lease.confirmed);
    await advance(400);
    assert.ok(!one.lease.confirmed);
    one.stop();
  });

  // Guards against a leader that stops and leads again, without its grants
  // since the last renewal of the row that it could not release.
  it("is not acquired again by a VM that has released it", async () => {
    const { store, start, advance } = createRig();
    const one = start("vm-1");
    await advance(200);
    store.fault = "down";
    await one.lease.release();
    store.fault = "none";
    await advance(3000);
    assert.ok(!one.lease.held);
    one.stop();
  });

  // Guards against a leader that leads again, without its grants since the last
  // renewal of the row: a late request of an earlier successor made it step down.
  it("waits for its own orders until it stepped down if it leads again", async () => {
    const { clock, store, start, advance } = createRig();
    const one = start("vm-1");
    await advance(200);
    store.fault = "down";
    await advance(6000);
    assert.ok(one.lease.maySendOrders);
    assert.ok(one.lease.stepDown());
    const steppedDownAt = clock.now();
    store.fault = "none";
    await advance(1000);
    assert.ok(one.lease.held);
    const endsAt = one.lease.predecessorOrdersEndAt;
    assert.ok(
      endsAt >= steppedDownAt,
      `${steppedDownAt - endsAt} ms too early`,
    );
    one.stop();
  });

  // Guards against a successor that waits for a lease, and for orders, that have
  // ended: a renewal was in flight when the leader released the lease.
  it("is released while a renewal is in flight", async () => {
    const { clock, store, start, advance } = createRig();
    const one = start("vm-1");
    await advance(200);
    const transact = store.transact.bind(store);
    let calls = 0;
    store.transact = (transaction, signal) => {
      calls++;
      const applied = transact(transaction, signal);
      return new ResultAsync(clock.sleep(100).then(() => applied));
    };
    for (let step = 0; step < 20 && calls === 0; step++) await advance(50);
    assert.equal(calls, 1);
    void one.lease.release();
    await advance(400);
    const two = start("vm-2");
    await advance(400);
    assert.ok(two.lease.held);
    assert.deepEqual(two.lease.activeEarlierLeaders, []);
    one.stop();
    two.stop();
  });

  // Guards against a lease that nobody renews: the answer to its acquisition
  // arrives once the VM is stopping.
  it("is released if its acquisition is answered during a stop", async () => {
    const { clock, store, start, advance, reportUnreachableFor } = createRig();
    const transact = store.transact.bind(store);
    store.transact = (transaction, signal) => {
      const applied = transact(transaction, signal);
      return new ResultAsync(clock.sleep(500).then(() => applied));
    };
    const one = start("vm-1");
    await advance(200);
    await one.lease.release();
    const two = start("vm-2");
    await reportUnreachableFor(two.lease, 1600);
    assert.ok(!one.lease.held);
    assert.ok(two.lease.held);
    one.stop();
    two.stop();
  });

  // Guards against a timeline with a loss that did not happen: a step-down meets
  // a renewal that then finds the successor's row.
  it("logs once that it was lost by a step-down during a renewal", async () => {
    const { clock, store, start, advance, lines } = createRig();
    const one = start("vm-1");
    await advance(200);
    const transact = store.transact.bind(store);
    store.transact = (transaction, signal) =>
      new ResultAsync(
        clock.sleep(2000).then(() => transact(transaction, signal)),
      );
    await advance(2200);
    store.put(
      "keeper",
      "keeper",
      JSON.stringify({
        schema: 1,
        vm: "vm-2",
        incarnation: "vm-2-1",
        peerUrl: "http://vm-2",
      }),
    );
    assert.ok(one.lease.stepDown());
    await advance(1000);
    const lost = lines.filter(({ args }) => args[1] === "leader lease lost");
    assert.equal(lost.length, 1);
    one.stop();
  });

  // Guards against leases that are counted as expired too early: an earlier
  // leader's time to send orders ends just before the lease is acquired.
  it("waits for earlier leaders whose orders end before it is acquired", async () => {
    const { store, start, advance } = createRig();
    const identity = { vm: "vm-0", incarnation: "vm-0-1", peerUrl: "http://v" };
    const ordersMs = 300;
    store.put(
      "keeper",
      "keeper",
      JSON.stringify({
        ...identity,
        schema: 1,
        vm: "vm-1",
        released: true,
        earlierOrdersMs: ordersMs,
        earlierLeaders: [{ ...identity, ordersMs }],
        unnamedOrdersMs: 0,
      }),
    );
    const small = start("vm-2", "vm-2-1", 0.27);
    await advance(1500);
    assert.ok(small.lease.held);
    assert.ok(small.lease.predecessorOrdersEndAt >= ordersMs);
    small.stop();
  });

  // Guards against a leader that sends orders after a suspension, although
  // another VM has acquired the lease: monotonic time excludes a suspension.
  it("allows no orders after a suspension until it is renewed", async () => {
    const { clock, start, advance } = createRig();
    const one = start("vm-1");
    await advance(200);
    assert.ok(one.lease.maySendOrders);
    clock.suspendedMs = 5000;
    assert.ok(!one.lease.maySendOrders);
    await advance(1000);
    assert.ok(one.lease.maySendOrders);
  });

  it("is not confirmed during a store outage, but allows orders for the grace period", async () => {
    const { store, start, advance } = createRig();
    const one = start("vm-1");
    await advance(200);
    store.fault = "down";
    await advance(3000);
    assert.ok(!one.lease.confirmed);
    assert.ok(one.lease.maySendOrders);
    await advance(12_000);
    assert.ok(!one.lease.maySendOrders);
  });

  it("stays held after a renewal whose response was lost", async () => {
    const { store, start, advance } = createRig();
    const one = start("vm-1");
    await advance(200);
    store.fault = "lost";
    await advance(1200);
    store.fault = "none";
    await advance(1200);
    assert.ok(one.lease.held);
    assert.ok(one.lease.confirmed);
  });

  it("ends when an unconfirmed leader steps down for its successor", async () => {
    const { store, start, advance } = createRig();
    const one = start("vm-1");
    await advance(200);
    assert.ok(!one.lease.stepDown(), "a confirmed leader does not step down");
    store.fault = "down";
    await advance(3000);
    assert.ok(one.lease.stepDown());
    assert.ok(!one.lease.held);
  });

  // Guards against a leader that relies on a renewal that the restored store has
  // lost, and against one that loses the lease although no one else had it.
  it("counts as confirmed after a restore once it has written its row", async () => {
    const { store, start, advance } = createRig();
    const copy = store.copy();
    const { lease, stop } = start("vm-1");
    await advance(700);
    assert.ok(lease.confirmed, "not the leader");
    store.fault = "down";
    await advance(600);
    store.restore(copy);
    store.fault = "none";
    await advance(500);
    assert.ok(lease.held && lease.confirmed, "lease not written again");
    assert.equal(lease.era, 1);
    assert.equal(lease.lostOrdersEndAt, Number.NEGATIVE_INFINITY);
    const [row] = [...store.rows.values()];
    assert.match(Buffer.from(row?.value ?? []).toString(), /"era":1/);
    stop();
  });

  // Guards against a leader that does not know of a successor, as the successor's
  // row is lost, and assumes that no one else has granted keys.
  it("waits for an unknown successor whose row a restore has lost", async () => {
    const { clock, store, start, advance, reportUnreachableFor } = createRig();
    const first = start("vm-1");
    await advance(700);
    const copy = store.copy();
    const transact = store.transact.bind(store);
    store.transact = (transaction, signal) => {
      const text = Buffer.from(transaction.writes[0]?.value ?? []).toString();
      if (!text.includes('"schema":1,"vm":"vm-1"')) {
        return transact(transaction, signal);
      }
      return new ResultAsync(
        Promise.resolve(
          err<never, RowStoreError>({ kind: "unknown", message: "cut off" }),
        ),
      );
    };
    const second = start("vm-2");
    await reportUnreachableFor(second.lease, 4000);
    assert.ok(second.lease.held, "no successor");
    second.stop();
    store.restore(copy);
    store.transact = transact;
    const restoredAt = clock.now();
    await advance(1000);
    assert.ok(first.lease.confirmed, "the first leader has no lease");
    assert.ok(
      first.lease.lostOrdersEndAt >= restoredAt + 12_000,
      `${first.lease.lostOrdersEndAt - restoredAt} ms`,
    );
    first.stop();
  });

  // Guards against a VM that takes the lease of a leader that is about to write
  // its row again, and against one that relies on an old row.
  it("leaves a restored row to its leader, and then waits for unknown ones", async () => {
    const { clock, store, start, advance, reportUnreachableFor } = createRig();
    const first = start("vm-1");
    await advance(700);
    const copy = store.copy();
    await advance(1000);
    store.restore(copy);
    first.stop();
    const restoredAt = clock.now();
    const second = start("vm-2");
    await reportUnreachableFor(second.lease, 3000);
    assert.ok(
      !second.lease.held,
      "taken before the leader could write its row",
    );
    await reportUnreachableFor(second.lease, 3000);
    assert.ok(second.lease.held, "lease not taken");
    assert.ok(
      second.lease.lostOrdersEndAt >= restoredAt + 12_000,
      `${second.lease.lostOrdersEndAt - restoredAt} ms`,
    );
    second.stop();
  });
});
