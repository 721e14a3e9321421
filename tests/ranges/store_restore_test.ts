import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { readRangeTable } from "../../src/ranges/read_range_table.ts";
import { ConnectionFaults } from "../support/connection_faults.ts";
import { RangeRig } from "../support/range_rig.ts";
import { silentLogger } from "../support/silent_logger.ts";

const IDS = ["u-1", "u-2", "u-3", "u-4"];
const SEEDS = 12;

type Vm = ReturnType<typeof startVm>;

/** Starts a VM that leads the keys whenever it holds the lease. */
function startVm(rig: RangeRig, name: string) {
  const connections = new ConnectionFaults(rig.store, rig.clock);
  const candidate = rig.addCandidate(name, IDS, connections);
  let term: AbortController | undefined;
  void candidate.lease.run();
  const update = () => {
    if (candidate.lease.held && term === undefined) {
      term = new AbortController();
      void candidate.newRanges().run(term.signal);
    } else if (!candidate.lease.held) {
      term?.abort();
      term = undefined;
    }
  };
  return { ...candidate, connections, update };
}

/** Advances the clock; standby VMs notice a leader that is not confirmed. */
async function advance(rig: RangeRig, vms: readonly Vm[], ms: number) {
  for (let passed = 0; passed < ms; passed += 20) {
    await rig.advance(20);
    for (const vm of vms) vm.update();
    if (passed % 400 !== 0) continue;
    const leads = vms.some(({ lease }) => lease.confirmed);
    for (const { lease } of vms) {
      if (!lease.held && !leads) lease.onLeaderUnreachable();
    }
  }
}

function storedTable(rig: RangeRig) {
  const row = [...rig.store.rows.values()].find(({ key }) => key === "ledger");
  assert.ok(row !== undefined, "no row");
  const table = readRangeTable(row, silentLogger(), rig.store.era);
  assert.ok(table !== undefined, "unreadable row");
  return table;
}

function stop(vms: readonly Vm[]): void {
  for (const vm of vms) vm.end.abort();
}

describe("restore of the store", () => {
  // Guards against a leader that adopts an old copy of its own row, so that it
  // issues fencing tokens again and forgets which upstream has the keys.
  it("writes the leader's present owners again without taking keys away", async () => {
    const rig = new RangeRig();
    const vm = startVm(rig, "vm-1");
    await advance(rig, [vm], 3000);
    const copy = rig.store.copy();
    rig.register(vm.view, "u-4", "draining");
    await advance(rig, [vm], 2000);
    const before = storedTable(rig).document;
    rig.store.fault = "down";
    await advance(rig, [vm], 600);
    rig.store.restore(copy);
    rig.store.fault = "none";
    for (let s = 0; s < 6; s++) {
      await advance(rig, [vm], 1000);
      assert.equal(rig.fractionHeldOnce(), 1, `after ${s + 1} s`);
    }
    const after = storedTable(rig).document;
    assert.equal(after.era, 1);
    assert.ok(after.nextFence >= before.nextFence, "tokens are issued again");
    assert.deepEqual(
      after.ranges.filter(({ owner }) => owner.id === "u-4"),
      [],
    );
    assert.deepEqual(rig.upstreams.overlaps, []);
    stop([vm]);
  });

  // Guards against a successor that reads an old copy of the row and grants keys
  // whose present owner is not in it.
  it("lets a new leader wait for owners that the copy does not name", async () => {
    const rig = new RangeRig();
    const first = startVm(rig, "vm-1");
    await advance(rig, [first], 3000);
    const copy = rig.store.copy();
    rig.register(first.view, "u-4", "draining");
    await advance(rig, [first], 2000);
    const before = storedTable(rig).document;
    // The first leader no longer reaches the store, but still renews grants.
    first.connections.silent = true;
    rig.store.restore(copy);
    const second = startVm(rig, "vm-2");
    const vms = [first, second];
    await advance(rig, vms, 10_000);
    assert.ok(second.lease.held, "no successor");
    await advance(rig, vms, 30_000);
    assert.deepEqual(rig.upstreams.overlaps, []);
    assert.equal(rig.fractionHeldOnce(), 1);
    const { ranges } = storedTable(rig).document;
    assert.ok(
      ranges.every(({ fence }) => fence > before.nextFence),
      "tokens are issued again",
    );
    stop(vms);
  });

  // Random cuts, drains and restores. Guards against two owners of a key, and
  // against keys that no upstream holds for good.
  for (let seed = 1; seed <= SEEDS; seed++) {
    it(`never gives a key two owners with seed ${seed}`, async () => {
      const rng = xoroshiro128plus(seed);
      const below = (limit: number) => uniformInt(rng, 0, limit - 1);
      const rig = new RangeRig();
      const vms = ["vm-1", "vm-2", "vm-3"].map((name) => startVm(rig, name));
      await advance(rig, vms, 4000);
      let copy = rig.store.copy();
      for (let step = 0; step < 40; step++) {
        const vm = vms[below(vms.length)];
        const id = IDS[below(IDS.length)] ?? "u-1";
        switch (below(8)) {
          case 0:
            copy = rig.store.copy();
            break;
          case 1:
            rig.store.fault = "down";
            await advance(rig, vms, 200 + below(4000));
            rig.store.restore(copy);
            rig.store.fault = "none";
            break;
          case 2:
            if (vm !== undefined) vm.connections.silent = true;
            break;
          case 3:
            for (const { connections } of vms) connections.silent = false;
            break;
          case 4:
            for (const { view } of vms) rig.register(view, id, "draining");
            break;
          case 5:
            for (const { view } of vms) {
              for (const one of IDS) rig.register(view, one);
            }
            break;
          case 6:
            if (vm !== undefined) {
              rig.upstreams.cutOff.set(vm.vm, new Set([id]));
            }
            break;
          case 7:
            rig.upstreams.cutOff.clear();
            break;
        }
        await advance(rig, vms, below(3000));
      }
      for (const { connections, view } of vms) {
        connections.silent = false;
        for (const one of IDS) rig.register(view, one);
      }
      rig.upstreams.cutOff.clear();
      await advance(rig, vms, 40_000);
      assert.deepEqual(rig.upstreams.overlaps, []);
      assert.equal(rig.fractionHeldOnce(), 1);
      stop(vms);
    });
  }
});
