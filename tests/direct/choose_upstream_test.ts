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
    location: { vm: "vm-1", failureDomain: "a1", region: "a" },
    workMs: 100,
    remainingMs: 1000,
    now: rig.clock.now(),
    ...fields,
  });
}

function idOf(choice: ReturnType<typeof choose>): string {
  return choice.kind === "send" ? choice.upstream.entry.id : choice.kind;
}

function addRequestsInFlight(upstream: Upstream, requests: number): void {
  for (let sent = 0; sent < requests; sent++) upstream.load.onSent();
}

describe("chooseUpstream for a service without keys", () => {
  const cases: {
    name: string;
    set: (rig: FleetRig) => Partial<Query> | undefined;
    chosen: string;
  }[] = [
    {
      name: "prefers the VM's failure domain when all upstreams are idle",
      set: (rig) => {
        rig.upstream({ id: "far", failureDomain: "b1" });
        rig.upstream({ id: "near" });
        return undefined;
      },
      chosen: "near",
    },
    {
      name: "chooses another region instead of a long queue",
      set: (rig) => {
        rig.upstream({ id: "far", failureDomain: "b1" });
        addRequestsInFlight(rig.upstream({ id: "near" }), 10);
        return undefined;
      },
      chosen: "far",
    },
    {
      name: "keeps a request within its home regions",
      set: (rig) => {
        rig.upstream({ id: "far", failureDomain: "b1" });
        addRequestsInFlight(rig.upstream({ id: "near" }), 10);
        return { route: rig.route({ homeRegions: ["a"] }) };
      },
      chosen: "near",
    },
    {
      name: "skips a draining upstream",
      set: (rig) => {
        rig.upstream({ id: "near", state: "draining" });
        rig.upstream({ id: "far", failureDomain: "b1" });
        return undefined;
      },
      chosen: "far",
    },
    {
      name: "skips an evacuated failure domain",
      set: (rig) => {
        rig.upstream({ id: "near" });
        rig.upstream({ id: "far", failureDomain: "b1" });
        rig.view.setEvacuated(new Set(["a1"]));
        return undefined;
      },
      chosen: "far",
    },
    {
      name: "skips an upstream that was unreachable",
      set: (rig) => {
        rig.upstream({ id: "near" }).failures.onUnreachable(0);
        rig.upstream({ id: "far", failureDomain: "b1" });
        return undefined;
      },
      chosen: "far",
    },
    {
      name: "skips an upstream that has asked for a pause",
      set: (rig) => {
        rig.upstream({ id: "near" }).pause(600);
        rig.upstream({ id: "far", failureDomain: "b1" });
        return undefined;
      },
      chosen: "far",
    },
    {
      name: "waits for the end of a short pause of the last upstream",
      set: (rig) => {
        rig.upstream({ id: "near" }).pause(200);
        return undefined;
      },
      chosen: "wait",
    },
    {
      // Several upstreams ask for a pause at once. Guards against sending all
      // their requests to those that are left.
      name: "refuses what the upstreams without a pause cannot answer in time",
      set: (rig) => {
        for (const id of ["u-1", "u-2", "u-3"]) {
          rig.upstream({ id }).pause(2000);
        }
        addRequestsInFlight(rig.upstream({ id: "left" }), 20);
        return undefined;
      },
      chosen: "refuse",
    },
    {
      name: "skips an upstream that has announced to leave",
      set: (rig) => {
        rig.upstream({ id: "near" }).announceLeave();
        rig.upstream({ id: "far", failureDomain: "b1" });
        return undefined;
      },
      chosen: "far",
    },
    {
      // Its registry row is older than the announcement.
      name: "skips an upstream that leaves although its entry says ready",
      set: (rig) => {
        rig.upstream({ id: "near" }).announceLeave();
        rig.upstream({ id: "near" });
        rig.upstream({ id: "far", failureDomain: "b1" });
        return undefined;
      },
      chosen: "far",
    },
    {
      // The registry is read again after its history was lost.
      name: "skips an upstream that leaves and is registered again",
      set: (rig) => {
        rig.upstream({ id: "near" }).announceLeave();
        rig.view.removeUpstreams(["near"]);
        rig.upstream({ id: "near", address: "127.0.0.1:2" });
        rig.upstream({ id: "far", failureDomain: "b1" });
        return undefined;
      },
      chosen: "far",
    },
    {
      name: "uses the next incarnation of an upstream that has left",
      set: (rig) => {
        rig.upstream({ id: "near" }).announceLeave();
        rig.upstream({ id: "near", incarnation: 2 });
        rig.upstream({ id: "far", failureDomain: "b1" });
        return undefined;
      },
      chosen: "near",
    },
    {
      // An upstream fails some of its requests while its health check succeeds.
      name: "avoids an upstream that fails often",
      set: (rig) => {
        const failing = rig.upstream({ id: "failing" });
        for (let n = 0; n < 6; n++) failing.failures.onResult(n % 2 === 0, 0);
        rig.upstream({ id: "healthy", failureDomain: "a2" });
        return undefined;
      },
      chosen: "healthy",
    },
    {
      // The host of an upstream is slow for some hundred milliseconds.
      name: "avoids an upstream whose host is temporarily slow",
      set: (rig) => {
        const slow = rig.upstream({ id: "slow" });
        for (const slowdown of [1, 1, 1, 4]) {
          slow.load.onReport(
            { running: 0, waiting: 0, slots: 2, slowdown },
            0,
          );
        }
        rig.upstream({ id: "fast", failureDomain: "a2" });
        return undefined;
      },
      chosen: "fast",
    },
    {
      // All upstreams that the VM prefers are busy, another of the region is
      // not.
      name: "chooses another upstream when the preferred ones are busy",
      set: (rig) => {
        const all = Array.from(
          { length: 40 },
          (_, n) => rig.upstream({ id: `u-${n}` }),
        );
        rig.view.setVms(400);
        const preferred = preferredUpstreams("vm-1", all, {
          upstreams: all.length,
          vms: rig.view.vms,
        });
        assert.equal(preferred.length, 6);
        for (const upstream of all) {
          if (upstream.entry.id !== "u-7") addRequestsInFlight(upstream, 5);
        }
        assert.ok(!preferred.some(({ entry }) => entry.id === "u-7"));
        return undefined;
      },
      chosen: "u-7",
    },
    {
      name: "skips an upstream that has been tried",
      set: (rig) => {
        const near = rig.upstream({ id: "near" });
        rig.upstream({ id: "far", failureDomain: "b1" });
        return { tried: new Set([near]) };
      },
      chosen: "far",
    },
    {
      name: "refuses without waiting when there is no upstream",
      set: () => undefined,
      chosen: "refuse",
    },
    {
      // Callers send more requests than all upstreams can run.
      name: "refuses without waiting a request that cannot be answered in time",
      set: (rig) => {
        addRequestsInFlight(rig.upstream({ id: "near" }), 20);
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

  // Requests of two priorities exceed the capacity of a service. Guards against
  // less urgent requests that displace more urgent ones.
  it("refuses less urgent requests first", () => {
    const rig = FleetRig.manual();
    const urgent = rig.route({ name: "urgent", priority: 0 });
    const other = rig.route({ name: "other", priority: 2 });
    rig.configure([urgent, other]);
    addRequestsInFlight(rig.upstream(), 12);
    assert.equal(choose(rig, { route: urgent }).kind, "send");
    assert.equal(choose(rig, { route: other }).kind, "refuse");
  });

  it("gives a caller the rest of a pause as retry delay", async () => {
    const rig = FleetRig.manual();
    rig.configure([rig.route()]);
    rig.upstream().pause(2000);
    rig.upstream().pause(500);
    await rig.clock.advance(600);
    const choice = choose(rig);
    assert.ok(choice.kind === "refuse");
    assert.equal(choice.code, "overloaded");
    assert.equal(choice.retryAfterMs, 1400);
    await rig.clock.advance(1400);
    assert.equal(choose(rig).kind, "send");
  });

  it("gives a refused caller a retry delay", () => {
    const rig = FleetRig.manual();
    rig.configure([rig.route()]);
    addRequestsInFlight(rig.upstream(), 30);
    const choice = choose(rig);
    assert.ok(choice.kind === "refuse" && choice.retryAfterMs > 0);
  });
});

describe("chooseUpstream for a keyed service", () => {
  const cases: {
    name: string;
    set: (rig: FleetRig) => void;
    chosen: string;
  }[] = [
    {
      name: "chooses the owner, also in another region",
      set: (rig) => {
        rig.upstream({ id: "near" });
        rig.upstream({ id: "owner", failureDomain: "b1" });
        rig.owners({ id: "owner" });
      },
      chosen: "owner",
    },
    {
      name: "waits while a key is reassigned between registered upstreams",
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
      name: "refuses without waiting while the lease of a lost owner is valid",
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
      name: "does not send to a new incarnation of the owner",
      set: (rig) => {
        rig.upstream({ id: "owner", incarnation: 2 });
        rig.owners({ id: "owner" });
      },
      chosen: "refuse",
    },
    {
      name: "still sends to an owner that has just started to drain",
      set: (rig) => {
        rig.upstream({ id: "owner" });
        rig.upstream({ id: "owner", state: "draining" });
        rig.owners({ id: "owner" });
      },
      chosen: "owner",
    },
    {
      name: "refuses a request whose owner has asked for a pause",
      set: (rig) => {
        rig.upstream({ id: "owner" }).pause(900);
        rig.upstream({ id: "other" });
        rig.owners({ id: "owner" });
      },
      chosen: "refuse",
    },
    {
      name: "still sends to an owner that has just announced to leave",
      set: (rig) => {
        rig.upstream({ id: "owner" }).announceLeave();
        rig.owners({ id: "owner" });
      },
      chosen: "owner",
    },
    {
      name: "refuses a request whose key has no owner",
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

  // The registry may be unreachable for longer than the upstream runs.
  it("waits instead of sending to an owner that announced 2 s ago to leave", async () => {
    const rig = FleetRig.manual();
    rig.configure([rig.route()], [{ keyed: true }]);
    rig.upstream({ id: "owner" }).announceLeave();
    rig.owners({ id: "owner" });
    await rig.clock.advance(2000);
    rig.upstream({ id: "owner" });
    assert.equal(idOf(choose(rig, { key: 77 })), "wait");
  });

  it("counts from the announcement if the owner is registered again", async () => {
    const rig = FleetRig.manual();
    rig.configure([rig.route()], [{ keyed: true }]);
    rig.upstream({ id: "owner" }).announceLeave();
    rig.owners({ id: "owner" });
    await rig.clock.advance(2000);
    rig.view.removeUpstreams(["owner"]);
    rig.upstream({ id: "owner" });
    assert.equal(idOf(choose(rig, { key: 77 })), "wait");
    rig.view.removeUpstreams(["owner"]);
    rig.upstream({ id: "owner" });
    assert.equal(idOf(choose(rig, { key: 77 })), "wait");
  });

  it("waits instead of sending to an owner that has drained for 2 s", async () => {
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

// Guards against callers that were refused together and return together.
it("spreads the retry delays of refused requests", () => {
  const rig = FleetRig.manual();
  rig.configure([rig.route()]);
  addRequestsInFlight(rig.upstream({ id: "u-1" }), 200);
  const delays = Array.from({ length: 50 }, () => {
    const choice = choose(rig);
    return choice.kind === "refuse" ? choice.retryAfterMs : 0;
  });
  assert.ok(Math.min(...delays) > 0, "not refused");
  assert.ok(Math.max(...delays) > 1.2 * Math.min(...delays), delays.join(" "));
});
