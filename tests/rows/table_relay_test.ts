import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RelayRig } from "../support/relay_rig.ts";

const VMS = 30;
const CHANGES = 50;
const CHANGE_MS = 200;

async function started(vms: number): Promise<RelayRig> {
  const rig = new RelayRig();
  rig.put("a", "0");
  for (let index = 0; index < vms; index += 1) rig.add(`vm-${index}`);
  await rig.pass(200);
  rig.appoint("vm-0");
  // The feed calls that were under way end with the next change.
  rig.put("a", "1");
  await rig.pass(1000);
  return rig;
}

describe("TableRelay", () => {
  // The pattern: hot keys move, and each move changes a row that all VMs
  // follow. Guards against calls to the store that grow with changes times VMs.
  it("lets one VM of a region call the store for all", async () => {
    const rig = await started(VMS);
    const before = rig.feedCalls;
    for (let index = 0; index < CHANGES; index += 1) {
      rig.put("a", `${index}`);
      await rig.pass(CHANGE_MS);
    }
    await rig.pass(700);
    assert.ok(rig.feedCalls - before <= 2 * CHANGES);
    for (const { seen } of rig.vms) {
      assert.equal(seen.rows.get("a"), `${CHANGES - 1}`);
    }
    rig.end.abort();
  });

  it("brings rows that were written and removed", async () => {
    const rig = await started(3);
    rig.put("b", "1");
    rig.drop("a");
    await rig.pass(1000);
    for (const { seen } of rig.vms) {
      assert.deepEqual([...seen.rows], [["b", "1"]]);
    }
    rig.end.abort();
  });

  it("brings changes at once to a VM that needs them", async () => {
    const rig = await started(2);
    rig.put("a", "new");
    for (let passed = 0; passed < 240; passed += 20) {
      rig.vms[1]?.relay.refresh();
      await rig.pass(20);
    }
    assert.equal(rig.vms[1]?.seen.rows.get("a"), "new");
    rig.end.abort();
  });

  // Guards against VMs that go on with old owners when their relay is lost.
  for (
    const { name, lose } of [
      {
        name: "has ended",
        lose: (rig: RelayRig) => rig.peers.close("http://vm-0"),
      },
      {
        name: "is cut off from the others",
        lose: (rig: RelayRig) => {
          for (const { vm } of rig.vms.slice(1)) {
            rig.peers.setCut("vm-0", vm, true);
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
    it(`asks the store when the relay ${name}`, async () => {
      const rig = await started(4);
      lose(rig);
      // A feed call of the relay may be under way when it is refused.
      await rig.pass(1800);
      rig.put("a", "after");
      await rig.pass(2500);
      for (const { vm, seen } of rig.vms.slice(1)) {
        assert.equal(seen.rows.get("a"), "after", vm);
      }
      rig.end.abort();
    });
  }

  // Guards against a VM that learns nothing while the store refuses it.
  it("brings changes to a VM that the store refuses", async () => {
    const rig = await started(3);
    const refused = rig.vms[2];
    assert.ok(refused !== undefined);
    refused.store.seen.refused = true;
    rig.put("a", "after");
    await rig.pass(1000);
    assert.equal(refused.seen.rows.get("a"), "after");
    rig.end.abort();
  });

  // Guards against upstreams that are dropped at once when their entries
  // lapsed in an outage which only the relay has noticed.
  it("lets every VM know that the store was away", async () => {
    const rig = await started(3);
    rig.store.fault = "down";
    rig.put("a", "2");
    await rig.pass(4000);
    rig.store.fault = "none";
    await rig.pass(1500);
    rig.put("a", "3");
    await rig.pass(1500);
    for (const { vm, seen } of rig.vms) assert.ok(seen.reconnected >= 1, vm);
    rig.end.abort();
  });

  it("leaves large changes to the store", async () => {
    const rig = await started(3);
    const large = "x".repeat(60_000);
    rig.put("a", large);
    await rig.pass(1500);
    for (const { seen } of rig.vms) assert.equal(seen.rows.get("a"), large);
    rig.end.abort();
  });
});
