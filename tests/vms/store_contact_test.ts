import assert from "node:assert/strict";
import { test } from "node:test";
import { RegionSimulation } from "../support/region_simulation.ts";
import type { SimulationAction } from "../support/simulation_action.ts";
import type { StoreMode } from "../../src/vms/store_mode.ts";

const signal = new AbortController().signal;
const wait = (ms: number): SimulationAction => ({ kind: "wait", ms });
const cut = (router: number, on = true): SimulationAction => ({
  kind: "cutStore",
  router,
  on,
});
const down: SimulationAction = { kind: "storeDown", on: true };
const ALL_CUT = [cut(0), cut(1), cut(2)];

/** Modes of three routers, vm0 in the first place. */
const modes: {
  name: string;
  size?: number;
  actions: SimulationAction[];
  expected: StoreMode[];
}[] = [
  {
    name: "with contact every router is current",
    actions: [],
    expected: ["current", "current", "current"],
  },
  {
    name: "contact of less than 1.5 s ago is enough",
    actions: [down, wait(900)],
    expected: ["current", "current", "current"],
  },
  {
    name: "witnesses confirm an outage of the store",
    actions: [down, wait(3000)],
    expected: ["outage", "outage", "outage"],
  },
  {
    name: "contact returns after an outage",
    actions: [down, wait(5000), { kind: "storeDown", on: false }, wait(6000)],
    expected: ["current", "current", "current"],
  },
  {
    name: "a router that alone lost the store is cut off",
    actions: [cut(0), wait(3000)],
    expected: ["cut_off", "current", "current"],
  },
  {
    name: "one witness with contact refuses",
    actions: [cut(0), cut(1), wait(3000)],
    expected: ["cut_off", "cut_off", "current"],
  },
  {
    name: "one witness out of reach is not a promise",
    actions: [
      down,
      { kind: "cutPeers", router: 0, other: 1, on: true },
      wait(3000),
    ],
    expected: ["cut_off", "cut_off", "outage"],
  },
  {
    name: "a witness that regained contact ends the outage of others",
    actions: [...ALL_CUT, wait(3000), cut(2, false), wait(2000)],
    expected: ["cut_off", "cut_off", "current"],
  },
  {
    name: "without witnesses there is no outage",
    size: 1,
    actions: [down, wait(3000)],
    expected: ["cut_off"],
  },
  {
    name: "a router that starts in an outage stays in starting, and the " +
      "process before it is missed as a witness",
    actions: [
      down,
      wait(3000),
      { kind: "kill", router: 2 },
      { kind: "start", router: 2 },
      wait(3000),
    ],
    expected: ["cut_off", "cut_off", "starting"],
  },
  {
    name: "a witness that said farewell is not needed",
    actions: [down, wait(3000), { kind: "stop", router: 2 }, wait(5000)],
    expected: ["outage", "outage", "cut_off"],
  },
  {
    name:
      "a witness lost in an outage may have acted before its loss was known",
    actions: [
      down,
      wait(3000),
      { kind: "kill", router: 2 },
      wait(3000),
      { kind: "replace", router: 2 },
      wait(3000),
    ],
    expected: ["cut_off", "cut_off", "cut_off"],
  },
  {
    name: "a witness off the VM list while its promise held is not needed",
    actions: [
      down,
      // Just before the list is read, which is once a second.
      wait(3700),
      { kind: "replace", router: 2 },
      wait(3000),
    ],
    expected: ["outage", "outage", "cut_off"],
  },
];

for (const { name, size, actions, expected } of modes) {
  test(name, async () => {
    const simulation = new RegionSimulation(size ?? 3);
    await simulation.advance(4000);
    for (const action of actions) await simulation.run(action);
    assert.deepEqual(
      simulation.routers.map((router) => router.contact.mode()),
      expected,
    );
    assert.deepEqual(simulation.violations, []);
    simulation.end();
  });
}

test("a router in an outage adopts newer rows of a witness", async () => {
  const simulation = new RegionSimulation(3);
  await simulation.advance(4000);
  await simulation.run(cut(0));
  await simulation.advance(100);
  await simulation.run({ kind: "changeCatalogue" });
  const key = "assignments/sierra/bookings";
  simulation.store.apply({
    conditions: [],
    writes: [{
      key,
      value: {
        schema: 1,
        service: "bookings",
        region: "sierra",
        coordinatorEpoch: 1,
        writeId: "w",
        upstreams: [],
        shards: [-1],
        tenures: {},
        pins: {},
      },
    }],
  });
  await simulation.advance(1000);
  assert.equal(simulation.routers[0]!.views.catalogue.version, 0);
  await simulation.run(cut(1));
  await simulation.run(cut(2));
  await simulation.advance(3500);
  const [router] = simulation.routers;
  assert.equal(router!.contact.mode(), "outage");
  assert.equal(router!.views.catalogue.version, 1);
  assert.equal(
    router!.views.assignments.get("sierra", "bookings")?.revision,
    simulation.store.get(key).revision,
  );
  simulation.end();
});

test("a promise holds back takeovers and confirmations for its time", async () => {
  const simulation = new RegionSimulation(3);
  await simulation.advance(4000);
  await simulation.run({ kind: "changeCatalogue" });
  await simulation.advance(1000);
  for (const action of ALL_CUT) await simulation.run(action);
  await simulation.advance(3000);
  const { contact, views } = simulation.routers[1]!;
  assert.equal(contact.mayActOnStore(), false);
  await simulation.run({ kind: "changeCatalogue" });
  await simulation.run(cut(1, false));
  const sawOldStatus = { under: false };
  for (let step = 0; step < 200; step++) {
    await simulation.advance(10);
    if (views.catalogue.version === 2 && !contact.mayActOnStore()) {
      sawOldStatus.under = true;
      assert.equal(contact.status().version, 1);
    }
  }
  assert.ok(sawOldStatus.under, "the version was adopted under a promise");
  assert.equal(contact.mayActOnStore(), true);
  assert.equal(contact.status().version, 2);
  simulation.end();
});

test("catalogue.changed leads to a poll at once", async () => {
  const simulation = new RegionSimulation(3);
  await simulation.advance(4100);
  await simulation.run({ kind: "changeCatalogue" });
  const [router] = simulation.routers;
  const handler = router!.contact.handlers()
    .find(({ method }) => method === "catalogue.changed")!;
  await handler.handle({ version: 1 }, signal);
  await simulation.advance(10);
  assert.equal(router!.views.catalogue.version, 1);
  simulation.end();
});

test("rows.get serves the catalogue and assignments only", async () => {
  const simulation = new RegionSimulation(3);
  await simulation.run({ kind: "changeCatalogue" });
  await simulation.advance(4000);
  const handler = simulation.routers[0]!.contact.handlers()
    .find(({ method }) => method === "rows.get")!;
  const keys = ["catalogue/current", "members/vm1", "assignments/sierra/none"];
  const answer = await handler.handle({ keys }, signal) as {
    rows: { key: string; revision: number }[];
  };
  assert.deepEqual(
    answer.rows.map(({ key, revision }) => ({ key, revision })),
    [
      {
        key: "catalogue/current",
        revision: simulation.store.get("catalogue/current").revision,
      },
    ],
  );
  assert.equal(
    handler.params.safeParse({ keys: Array(65).fill("a") }).success,
    false,
  );
  simulation.end();
});

test("mode changes are notified when time alone causes them", async () => {
  const simulation = new RegionSimulation(3);
  await simulation.advance(4000);
  const { contact } = simulation.routers[0]!;
  await simulation.run(cut(0));
  let notified = false;
  void contact.changed.next().then(() => notified = true);
  await simulation.advance(2000);
  assert.equal(notified, true);
  simulation.end();
});

test("a router that cannot fetch a witness's version does not serve", async () => {
  const simulation = new RegionSimulation(3);
  await simulation.advance(4000);
  await simulation.run({ kind: "changeCatalogue" });
  await simulation.advance(1000);
  await simulation.run(cut(0));
  await simulation.run({ kind: "changeCatalogue" });
  await simulation.advance(1000);
  for (const router of simulation.routers) {
    const { contact, clock, vm, peerUrl } = router;
    const handlers = contact.handlers()
      .filter(({ method }) => method !== "rows.get");
    simulation.peers.listen(peerUrl, { vm, process: clock, handlers });
  }
  for (const action of ALL_CUT) await simulation.run(action);
  await simulation.advance(4000);
  assert.deepEqual(
    simulation.routers.map((router) => router.contact.mode()),
    ["cut_off", "outage", "outage"],
  );
  simulation.end();
});
