import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DomainBalancer } from "../../src/balance/domain_balancer.ts";
import { chooseUpstream } from "../../src/direct/choose_upstream.ts";
import type { Route } from "../../src/direct/route.ts";
import { FleetRig } from "../support/fleet_rig.ts";

const LOCATION = { vm: "vm-1", failureDomain: "a1", region: "a" };

/** Registers 10 upstreams with 4 slots in each domain. */
function createRig(setup: {
  /** Requests of this VM at each upstream, by domain. */
  inFlight?: Record<string, number>;
  /** Requests of all VMs by domain; undefined if the figures are not known. */
  figures?: Record<string, number> | undefined;
  /** Whether the figures of the other region are not known. */
  farLost?: boolean;
  slots?: number;
  keyed?: boolean;
}) {
  const rig = FleetRig.manual();
  rig.configure([rig.route()], [{ keyed: setup.keyed ?? false }]);
  for (const domain of ["a1", "a2", "b1"]) {
    for (let index = 0; index < 10; index++) {
      const upstream = rig.upstream({
        id: `${domain}-${index}`,
        failureDomain: domain,
        slots: setup.slots ?? 4,
      });
      for (let sent = 0; sent < (setup.inFlight?.[domain] ?? 0); sent++) {
        upstream.load.onSent();
      }
    }
  }
  const balancer = new DomainBalancer({
    view: rig.view,
    location: LOCATION,
    figures: (_, domain) =>
      setup.figures === undefined || (setup.farLost === true && domain === "b1")
        ? undefined
        : {
          service: "s1",
          domain,
          workPerS: 0,
          inFlight: setup.figures[domain] ?? 0,
        },
    workMs: () => 200,
    onPlanned: () => undefined,
    onChanged: () => undefined,
  });
  const chooseDomain = (fields: Partial<Route> = {}) => {
    const choice = chooseUpstream({
      view: rig.view,
      route: rig.route({ objectiveMs: 600, ...fields }),
      service: "s1",
      key: undefined,
      tried: new Set(),
      location: LOCATION,
      workMs: 200,
      remainingMs: 1500,
      now: rig.clock.now(),
      balancer,
    });
    return choice.kind === "send"
      ? choice.upstream.entry.failureDomain
      : choice.kind;
  };
  return { rig, balancer, chooseDomain };
}

function domainsOf(choose: () => string, count = 40): Set<string> {
  return new Set(Array.from({ length: count }, choose));
}

describe("pickBalanced", () => {
  it("keeps requests at home that meet their objective there", () => {
    const { chooseDomain } = createRig({ inFlight: { a1: 3 }, figures: {} });
    assert.deepEqual(domainsOf(chooseDomain), new Set(["a1"]));
  });

  it("leaves the domain when it would miss the objective", () => {
    const { chooseDomain } = createRig({
      inFlight: { a1: 12 },
      figures: { a1: 120 },
    });
    assert.deepEqual(domainsOf(chooseDomain), new Set(["a2"]));
  });

  it("leaves for less if only the other domain would meet the objective", () => {
    const setup = (a1: number, a2: number) => ({
      inFlight: { a1, a2, b1: 12 },
      figures: { a1: 10 * a1, a2: 10 * a2, b1: 120 },
    });
    // 602 ms at home and 502 ms in the other domain, of 600 ms.
    assert.deepEqual(
      domainsOf(createRig(setup(11, 9)).chooseDomain),
      new Set(["a2"]),
    );
    // 552 ms and 452 ms.
    assert.deepEqual(
      domainsOf(createRig(setup(10, 8)).chooseDomain),
      new Set(["a1"]),
    );
  });

  // The VM has sent nothing there lately, so its own estimate is that of idle
  // upstreams.
  it("stays when the shared figures tell of a longer queue elsewhere", () => {
    const { chooseDomain } = createRig({
      inFlight: { a1: 8 },
      figures: { a1: 80, a2: 160, b1: 160 },
    });
    assert.deepEqual(domainsOf(chooseDomain), new Set(["a1"]));
  });

  it("leaves the region only if the wait saved exceeds the way", () => {
    const far = { figures: { a1: 90, a2: 120 }, inFlight: { a1: 9, a2: 12 } };
    assert.deepEqual(domainsOf(createRig(far).chooseDomain), new Set(["a1"]));
    const further = {
      figures: { a1: 200, a2: 200 },
      inFlight: { a1: 20, a2: 20 },
    };
    assert.deepEqual(
      domainsOf(createRig(further).chooseDomain),
      new Set(["b1"]),
    );
  });

  it("uses another region by own samples when its figures are lost", () => {
    const { chooseDomain } = createRig({
      inFlight: { a1: 20, a2: 20 },
      figures: { a1: 200, a2: 200 },
      farLost: true,
    });
    assert.deepEqual(domainsOf(chooseDomain), new Set(["b1"]));
  });

  it("never leaves the regions that the route allows", () => {
    const { chooseDomain } = createRig({
      inFlight: { a1: 14, a2: 14 },
      figures: { a1: 140, a2: 140 },
    });
    const domains = domainsOf(() => chooseDomain({ homeRegions: ["a"] }));
    assert.ok(!domains.has("b1"), [...domains].join());
  });

  it("is not used where figures, slots or upstreams are missing", () => {
    for (
      const { setup, used } of [
        { setup: { figures: {} }, used: true },
        { setup: { figures: undefined }, used: false },
        { setup: { figures: {}, slots: 2 }, used: false },
        { setup: { figures: {}, keyed: true }, used: false },
      ]
    ) {
      const { rig, balancer } = createRig(setup);
      assert.equal(balancer.plan("s1", rig.clock.now()) !== undefined, used);
    }
    const { rig, balancer } = createRig({ figures: {} });
    for (const id of ["a1-0", "a1-1", "a1-2"]) {
      rig.upstream({ id, slots: 4, state: "draining" });
    }
    assert.equal(balancer.plan("s1", rig.clock.now()), undefined);
  });

  it("avoids an upstream as soon as an answer reports a slowdown", () => {
    const { rig, chooseDomain } = createRig({ figures: {} });
    for (let index = 0; index < 10; index++) {
      const { load } = rig.view.upstream(`a1-${index}`)!;
      const report = { running: 1, waiting: 0, slots: 4, slowdown: 1 };
      for (let answers = 0; answers < 5; answers++) load.onReport(report, 0);
      if (index > 0) load.onReport({ ...report, slowdown: 3 }, 0);
    }
    assert.deepEqual(domainsOf(chooseDomain), new Set(["a1"]));
    const quick = rig.view.upstream("a1-0")!.load.expectedTimes(200, 0);
    const slow = rig.view.upstream("a1-1")!.load.expectedTimes(200, 0);
    assert.equal(Math.round(slow.runMs / quick.runMs), 3);
  });
});
