import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RelayRig } from "../support/relay_rig.ts";

/** Changes must be in force this long after the store has confirmed them. */
const CHANGE_BOUND_MS = 2500;
/** A VM is excused for this long after a disturbance of its own. */
const EXCUSED_MS = 3000;
const PHASE_STEP_MS = 100;
const PHASES = 40;
const ROUND_TRIP_MS = 40;

type Vm = RelayRig["vms"][number];
type Disturbance = {
  name: string;
  /** Whether VMs 1 and 2 have VM 0 as their relay. */
  relayed: boolean;
  /**
   * Disturbs the VMs and writes the row `late`.
   *
   * @returns milliseconds after the write at which all VMs must know it
   */
  run: (rig: RelayRig, vms: readonly Vm[]) => Promise<number>;
};

function killConnections(vms: readonly Vm[]): void {
  for (const { connections } of vms) connections.killConnections();
}

const disturbances: Disturbance[] = [
  {
    name: "all connections to the store go silent",
    relayed: false,
    run: (rig, vms) => {
      killConnections(vms);
      rig.put("late", "1");
      return Promise.resolve(EXCUSED_MS);
    },
  },
  ...[400, 900, 3500, 6500].map((ms): Disturbance => ({
    name: `the store answers nobody for ${ms} ms`,
    relayed: false,
    run: async (rig, vms) => {
      killConnections(vms);
      for (const { connections } of vms) connections.silent = true;
      await rig.advance(ms);
      for (const { connections } of vms) connections.silent = false;
      killConnections(vms);
      rig.put("late", "1");
      return EXCUSED_MS;
    },
  })),
  {
    name: "all connections of VMs with a relay go silent",
    relayed: true,
    run: (rig, vms) => {
      killConnections(vms);
      for (const { connections } of vms) connections.deadIdle = 1;
      rig.put("late", "1");
      return Promise.resolve(EXCUSED_MS);
    },
  },
  {
    name: "the relay ends, and idle connections to the store are silent",
    relayed: true,
    run: (rig, vms) => {
      for (const { connections } of vms) connections.deadIdle = 1;
      rig.peers.close("http://vm-0");
      rig.put("late", "1");
      return Promise.resolve(CHANGE_BOUND_MS);
    },
  },
  ...[0, 600, 1200, 1500].map((ms): Disturbance => ({
    name:
      `the relay's connections go silent, and it is suspended ${ms} ms later`,
    relayed: true,
    run: async (rig, [relay]) => {
      assert.ok(relay !== undefined);
      relay.connections.silent = true;
      relay.connections.killConnections();
      rig.put("late", "1");
      await rig.advance(ms);
      relay.process.paused = true;
      return CHANGE_BOUND_MS - ms;
    },
  })),
  {
    name: "the relay is disconnected from the store and slow",
    relayed: true,
    run: (rig, [relay]) => {
      assert.ok(relay !== undefined);
      relay.connections.silent = true;
      relay.connections.killConnections();
      rig.peers.delayMs = 320;
      rig.put("late", "1");
      return Promise.resolve(CHANGE_BOUND_MS);
    },
  },
];

// Guards against requests that are handled by a configuration that was replaced
// longer ago than the bound. Each phase disturbs at another moment of the feed
// calls and of the queries to the relay.
describe("a change is known in time when", () => {
  for (const { name, relayed, run } of disturbances) {
    it(name, async () => {
      const late: string[] = [];
      for (let phase = 0; phase < PHASES; phase++) {
        const rig = new RelayRig();
        rig.peers.delayMs = ROUND_TRIP_MS / 2;
        rig.put("a", "1");
        for (let index = 0; index < 3; index++) rig.addVm(`vm-${index}`);
        await rig.advance(200);
        if (relayed) rig.setRelay("vm-0");
        await rig.advance(4000 + phase * PHASE_STEP_MS);
        const boundMs = await run(rig, rig.vms);
        await rig.advance(boundMs);
        for (const { vm, seen, process } of rig.vms) {
          if (process.paused || seen.rows.has("late")) continue;
          if (relayed && vm === "vm-0") continue;
          late.push(`${vm} in phase ${phase}`);
        }
        rig.end.abort();
        await rig.advance(100);
      }
      assert.deepEqual(late, []);
    });
  }
});
