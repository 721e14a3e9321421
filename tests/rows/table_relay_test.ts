import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RelayRig } from "../support/relay_rig.ts";

const VMS = 30;
const CHANGES = 50;
const CHANGE_INTERVAL_MS = 200;

async function startRig(vms: number): Promise<RelayRig> {
  const rig = new RelayRig();
  rig.put("a", "0");
  for (let index = 0; index < vms; index += 1) rig.addVm(`vm-${index}`);
  await rig.advance(200);
  rig.setRelay("vm-0");
  // The feed calls in flight end with the next change.
  rig.put("a", "1");
  await rig.advance(1000);
  return rig;
}

describe("TableRelay", () => {
  // Load pattern: hot keys move, and each move changes a row that all VMs
  // follow. Guards against a number of store calls that grows with the product
  // of changes and VMs.
  it("calls the store from only one VM of a region", async () => {
    const rig = await startRig(VMS);
    const before = rig.feedCalls;
    for (let index = 0; index < CHANGES; index += 1) {
      rig.put("a", `${index}`);
      await rig.advance(CHANGE_INTERVAL_MS);
    }
    await rig.advance(700);
    assert.ok(rig.feedCalls - before <= 2 * CHANGES);
    for (const { seen } of rig.vms) {
      assert.equal(seen.rows.get("a"), `${CHANGES - 1}`);
    }
    rig.end.abort();
  });

  it("relays written and removed rows", async () => {
    const rig = await startRig(3);
    rig.put("b", "1");
    rig.drop("a");
    await rig.advance(1000);
    for (const { seen } of rig.vms) {
      assert.deepEqual([...seen.rows], [["b", "1"]]);
    }
    rig.end.abort();
  });

  it("relays changes within 240 ms to a VM that needs them", async () => {
    const rig = await startRig(2);
    rig.put("a", "new");
    for (let passed = 0; passed < 240; passed += 20) {
      rig.vms[1]?.relay.refresh();
      await rig.advance(20);
    }
    assert.equal(rig.vms[1]?.seen.rows.get("a"), "new");
    rig.end.abort();
  });

  // Guards against VMs that keep using old owners when their relay is lost.
  for (
    const { name, lose } of [
      {
        name: "has stopped",
        lose: (rig: RelayRig) => rig.peers.close("http://vm-0"),
      },
      {
        name: "is disconnected from the other VMs",
        lose: (rig: RelayRig) => {
          for (const { vm } of rig.vms.slice(1)) {
            rig.peers.setLinkDown("vm-0", vm, true);
          }
        },
      },
      {
        name: "is refused by the store",
        lose: (rig: RelayRig) => {
          const relay = rig.vms[0];
          if (relay !== undefined) relay.store.seen.refused = true;
        },
      },
    ]
  ) {
    it(`reads from the store when the relay ${name}`, async () => {
      const rig = await startRig(4);
      lose(rig);
      // A feed call of the relay may be in flight when the store refuses it.
      await rig.advance(1800);
      rig.put("a", "after");
      await rig.advance(2500);
      for (const { vm, seen } of rig.vms.slice(1)) {
        assert.equal(seen.rows.get("a"), "after", vm);
      }
      rig.end.abort();
    });
  }

  // Guards against a VM that receives no changes while the store refuses it.
  it("relays changes to a VM that the store refuses", async () => {
    const rig = await startRig(3);
    const refused = rig.vms[2];
    assert.ok(refused !== undefined);
    refused.store.seen.refused = true;
    rig.put("a", "after");
    await rig.advance(1000);
    assert.equal(refused.seen.rows.get("a"), "after");
    rig.end.abort();
  });

  // Guards against VMs that remove upstreams at once whose entries expired in
  // an outage that only the relay has noticed.
  it("notifies every VM of a store outage that the relay has noticed", async () => {
    const rig = await startRig(3);
    rig.store.fault = "down";
    rig.put("a", "2");
    await rig.advance(4000);
    rig.store.fault = "none";
    await rig.advance(1500);
    rig.put("a", "3");
    await rig.advance(1500);
    for (const { vm, seen } of rig.vms) assert.ok(seen.reconnected >= 1, vm);
    rig.end.abort();
  });

  it("leaves large changes to be read from the store", async () => {
    const rig = await startRig(3);
    const large = "x".repeat(60_000);
    rig.put("a", large);
    await rig.advance(1500);
    for (const { seen } of rig.vms) assert.equal(seen.rows.get("a"), large);
    rig.end.abort();
  });

  // Guards against changes that a relay in one era of the store sends to a VM in
  // another one, where the same versions belong to other rows.
  for (const behind of ["vm-0", "vm-1"]) {
    it(`relays nothing between eras while ${behind} does not reach the store`, async () => {
      const rig = await startRig(2);
      const copy = rig.store.copy();
      rig.put("a", "lost");
      await rig.advance(1000);
      const cutOff = rig.vms.find(({ vm }) => vm === behind);
      assert.ok(cutOff !== undefined, "no such VM");
      cutOff.store.seen.refused = true;
      rig.store.restore(copy);
      for (let n = 0; n < 3; n++) rig.put("b", `${n}`);
      await rig.advance(4000);
      const other = rig.vms.find(({ vm }) => vm !== behind);
      assert.deepEqual([...other?.seen.rows ?? []], [["a", "1"], ["b", "2"]]);
      assert.deepEqual([...cutOff.seen.rows], [["a", "lost"]]);
      cutOff.store.seen.refused = false;
      await rig.advance(2000);
      assert.deepEqual([...cutOff.seen.rows], [["a", "1"], ["b", "2"]]);
      rig.end.abort();
    });
  }

  it("relays changes of the restored store once both VMs have read it", async () => {
    const rig = await startRig(3);
    const copy = rig.store.copy();
    rig.put("a", "lost");
    await rig.advance(1000);
    rig.store.restore(copy);
    await rig.advance(3000);
    const before = rig.feedCalls;
    for (let index = 0; index < 10; index += 1) {
      rig.put("a", `${index}`);
      await rig.advance(CHANGE_INTERVAL_MS);
    }
    await rig.advance(700);
    assert.ok(rig.feedCalls - before <= 25, `${rig.feedCalls - before} calls`);
    for (const { seen } of rig.vms) assert.equal(seen.rows.get("a"), "9");
    rig.end.abort();
  });
});
