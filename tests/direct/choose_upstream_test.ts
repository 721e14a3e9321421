import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseUpstream } from "../../src/direct/choose_upstream.ts";
import { preferredUpstreams } from "../../src/direct/preferred_upstreams.ts";
import type { Upstream } from "../../src/direct/upstream.ts";
import { FleetRig } from "../support/fleet_rig.ts";

type Query = Parameters<typeof chooseUpstream>[0];

function choose(rig: FleetRig, fields: Partial<Query> = {}) {
  return chooseUpstream({
    view: rig.view,
    route: rig.route(),
    service: "s1",
    key: undefined,
    tried: new Set(),
    place: { vm: "vm-1", failureDomain: "a1", region: "a" },
    workMs: 100,
    remainingMs: 1000,
    now: rig.clock.now(),
    ...fields,
  });
}

function idOf(choice: ReturnType<typeof choose>): string {
  return choice.kind === "send" ? choice.upstream.entry.id : choice.kind;
}

function load(upstream: Upstream, requests: number): void {
  for (let sent = 0; sent < requests; sent++) upstream.load.onSent();
}

describe("chooseUpstream, any upstream", () => {
  const cases: {
    name: string;
    set: (rig: FleetRig) => Partial<Query> | undefined;
    chosen: string;
  }[] = [
    {
      name: "takes the own failure domain when all are idle",
      set: (rig) => {
        rig.upstream({ id: "far", failureDomain: "b1" });
        rig.upstream({ id: "near" });
        return undefined;
      },
      chosen: "near",
    },
    {
      name: "takes another region rather than a long queue",
      set: (rig) => {
        rig.upstream({ id: "far", failureDomain: "b1" });
        load(rig.upstream({ id: "near" }), 10);
        return undefined;
      },
      chosen: "far",
    },
    {
      name: "keeps a request within its home regions",
      set: (rig) => {
        rig.upstream({ id: "far", failureDomain: "b1" });
        load(rig.upstream({ id: "near" }), 10);
        return { route: rig.route({ homeRegions: ["a"] }) };
      },
      chosen: "near",
    },
    {
      name: "passes over a draining upstream",
      set: (rig) => {
        rig.upstream({ id: "near", state: "draining" });
        rig.upstream({ id: "far", failureDomain: "b1" });
        return undefined;
      },
      chosen: "far",
    },
    {
      name: "passes over an evacuated failure domain",
      set: (rig) => {
        rig.upstream({ id: "near" });
        rig.upstream({ id: "far", failureDomain: "b1" });
        rig.view.setEvacuated(new Set(["a1"]));
        return undefined;
      },
      chosen: "far",
    },
    {
      name: "passes over an upstream that could not be reached",
      set: (rig) => {
        rig.upstream({ id: "near" }).failures.onUnreachable(0);
        rig.upstream({ id: "far", failureDomain: "b1" });
        return undefined;
      },
      chosen: "far",
    },
    {
      // Load pattern: an upstream fails part of its requests while its health
      // check is good.
      name: "avoids an upstream that fails often",
      set: (rig) => {
        const grey = rig.upstream({ id: "grey" });
        for (let n = 0; n < 6; n++) grey.failures.onResult(n % 2 === 0, 0);
        rig.upstream({ id: "well", failureDomain: "a2" });
        return undefined;
      },
      chosen: "well",
    },
    {
      // Load pattern: the host of an upstream is slow for some hundred ms.
      name: "avoids an upstream whose host is slow at the moment",
      set: (rig) => {
        const slow = rig.upstream({ id: "slow" });
        for (const slowdown of [1, 1, 1, 4]) {
          slow.load.onReport(
            { running: 0, waiting: 0, slots: 2, slowdown },
            0,
          );
        }
        rig.upstream({ id: "well", failureDomain: "a2" });
        return undefined;
      },
      chosen: "well",
    },
    {
      // Load pattern: all upstreams that the VM prefers are busy, others of
      // the region are not.
      name: "looks beyond the preferred upstreams when they are busy",
      set: (rig) => {
        const all = Array.from(
          { length: 40 },
          (_, n) => rig.upstream({ id: `u-${n}` }),
        );
        rig.view.setVms(400);
        const busy = preferredUpstreams("vm-1", all, {
          upstreams: all.length,
          vms: rig.view.vms,
        });
        assert.equal(busy.length, 6);
        for (const upstream of all) {
          if (upstream.entry.id !== "u-7") load(upstream, 5);
        }
        assert.ok(!busy.some(({ entry }) => entry.id === "u-7"));
        return undefined;
      },
      chosen: "u-7",
    },
    {
      name: "does not send to an upstream twice",
      set: (rig) => {
        const near = rig.upstream({ id: "near" });
        rig.upstream({ id: "far", failureDomain: "b1" });
        return { tried: new Set([near]) };
      },
      chosen: "far",
    },
    {
      name: "refuses at once when no upstream is left",
      set: () => undefined,
      chosen: "refuse",
    },
    {
      // Load pattern: more is asked than all upstreams can run.
      name: "refuses at once what cannot be answered in time",
      set: (rig) => {
        load(rig.upstream({ id: "near" }), 20);
        return undefined;
      },
      chosen: "refuse",
    },
  ];
  for (const { name, set, chosen } of cases) {
    it(name, () => {
      const rig = FleetRig.manual();
      rig.configure([rig.route()]);
      assert.equal(idOf(choose(rig, set(rig))), chosen);
    });
  }

  // Load pattern: a service has less room than is asked by requests of two
  // priorities. Guards: the less urgent take the room of the more urgent.
  it("refuses the less urgent first", () => {
    const rig = FleetRig.manual();
    const urgent = rig.route({ name: "urgent", priority: 0 });
    const other = rig.route({ name: "other", priority: 2 });
    rig.configure([urgent, other]);
    load(rig.upstream(), 12);
    assert.equal(choose(rig, { route: urgent }).kind, "send");
    assert.equal(choose(rig, { route: other }).kind, "refuse");
  });

  it("says when a refused caller may return", () => {
    const rig = FleetRig.manual();
    rig.configure([rig.route()]);
    load(rig.upstream(), 30);
    const choice = choose(rig);
    assert.ok(choice.kind === "refuse" && choice.retryAfterMs > 0);
  });
});

describe("chooseUpstream, the owner of a key", () => {
  const cases: {
    name: string;
    set: (rig: FleetRig) => void;
    chosen: string;
  }[] = [
    {
      name: "takes the owner, wherever it is",
      set: (rig) => {
        rig.upstream({ id: "near" });
        rig.upstream({ id: "owner", failureDomain: "b1" });
        rig.owners({ id: "owner" });
      },
      chosen: "owner",
    },
    {
      name: "waits while the key moves between upstreams that are well",
      set: (rig) => {
        rig.upstream({ id: "old" });
        rig.upstream({ id: "new" });
        rig.owners({
          id: "new",
          previous: [{ id: "old", incarnation: 1, fence: 1 }],
        });
      },
      chosen: "wait",
    },
    {
      name: "refuses at once while a lost owner's lease runs",
      set: (rig) => {
        rig.upstream({ id: "new" });
        rig.owners({
          id: "new",
          previous: [{ id: "lost", incarnation: 1, fence: 1 }],
        });
      },
      chosen: "refuse",
    },
    {
      name: "does not take a new life of the owner for the owner",
      set: (rig) => {
        rig.upstream({ id: "owner", incarnation: 2 });
        rig.owners({ id: "owner" });
      },
      chosen: "refuse",
    },
    {
      name: "goes on with an owner that has just begun to leave",
      set: (rig) => {
        rig.upstream({ id: "owner" });
        rig.upstream({ id: "owner", state: "draining" });
        rig.owners({ id: "owner" });
      },
      chosen: "owner",
    },
    {
      name: "refuses a key without owner",
      set: () => undefined,
      chosen: "refuse",
    },
  ];
  for (const { name, set, chosen } of cases) {
    it(name, () => {
      const rig = FleetRig.manual();
      rig.configure([rig.route()], [{ keyed: true }]);
      set(rig);
      assert.equal(idOf(choose(rig, { key: 77 })), chosen);
    });
  }

  it("sends nothing to an owner that has been leaving for long", async () => {
    const rig = FleetRig.manual();
    rig.configure([rig.route()], [{ keyed: true }]);
    rig.upstream({ id: "owner" });
    rig.upstream({ id: "owner", state: "draining" });
    rig.owners({ id: "owner" });
    await rig.clock.advance(2000);
    assert.equal(idOf(choose(rig, { key: 77 })), "wait");
  });

  it("refuses a request without a key", () => {
    const rig = FleetRig.manual();
    rig.configure([rig.route()], [{ keyed: true }]);
    const choice = choose(rig);
    assert.ok(choice.kind === "refuse" && choice.code === "missing_key");
  });
});
