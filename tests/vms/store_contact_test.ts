import assert from "node:assert/strict";
import { test } from "node:test";
import { CoordinatorLeaseSimulation } from "../support/coordinator_lease_simulation.ts";
import type { SimulationAction } from "../support/simulation_action.ts";
import type { StoreMode } from "../../src/vms/store_mode.ts";

const signal = new AbortController().signal;
const wait = (ms: number): SimulationAction => ({ kind: "wait", ms });
const disconnectStore = (router: number, on = true): SimulationAction => ({
  kind: "disconnectStore",
  router,
  on,
});
const storeDown: SimulationAction = { kind: "storeDown", on: true };
const ALL_ROUTERS_DISCONNECTED = [
  disconnectStore(0),
  disconnectStore(1),
  disconnectStore(2),
];

/** Expected modes of the routers, in the order vm0, vm1, vm2. */
const modes: {
  name: string;
  size?: number;
  actions: SimulationAction[];
  expected: StoreMode[];
}[] = [
  {
    name: "every router that reaches the store is current",
    actions: [],
    expected: ["current", "current", "current"],
  },
  {
    name: "a router whose last contact is less than 1.5 s ago is current",
    actions: [storeDown, wait(900)],
    expected: ["current", "current", "current"],
  },
  {
    name: "witnesses confirm an outage of the store",
    actions: [storeDown, wait(3000)],
    expected: ["outage", "outage", "outage"],
  },
  {
    name: "routers become current again after an outage",
    actions: [
      storeDown,
      wait(5000),
      { kind: "storeDown", on: false },
      wait(6000),
    ],
    expected: ["current", "current", "current"],
  },
  {
    name: "the only router that cannot reach the store is cut off",
    actions: [disconnectStore(0), wait(3000)],
    expected: ["cut_off", "current", "current"],
  },
  {
    name: "one witness that reaches the store rules out an outage",
    actions: [disconnectStore(0), disconnectStore(1), wait(3000)],
    expected: ["cut_off", "cut_off", "current"],
  },
  {
    name: "a witness that cannot be reached does not count as a promise",
    actions: [
      storeDown,
      { kind: "disconnectPeers", router: 0, other: 1, on: true },
      wait(3000),
    ],
    expected: ["cut_off", "cut_off", "outage"],
  },
  {
    name: "a witness that reaches the store again ends the outage of others",
    actions: [
      ...ALL_ROUTERS_DISCONNECTED,
      wait(3000),
      disconnectStore(2, false),
      wait(2000),
    ],
    expected: ["cut_off", "cut_off", "current"],
  },
  {
    name: "a router without witnesses is cut off instead of in an outage",
    size: 1,
    actions: [storeDown, wait(3000)],
    expected: ["cut_off"],
  },
  {
    name: "a router that starts in an outage stays in starting, and does " +
      "not replace its earlier process as a witness",
    actions: [
      storeDown,
      wait(3000),
      { kind: "kill", router: 2 },
      { kind: "start", router: 2 },
      wait(3000),
    ],
    expected: ["cut_off", "cut_off", "starting"],
  },
  {
    name: "a witness that announced that it is leaving is not needed",
    actions: [storeDown, wait(3000), { kind: "stop", router: 2 }, wait(5000)],
    expected: ["outage", "outage", "cut_off"],
  },
  {
    name:
      "a lost witness is needed: it may have acted before its loss was seen",
    actions: [
      storeDown,
      wait(3000),
      { kind: "kill", router: 2 },
      wait(3000),
      { kind: "replace", router: 2 },
      wait(3000),
    ],
    expected: ["cut_off", "cut_off", "cut_off"],
  },
  {
    name: "a witness absent from the VM list during its promise is not needed",
    actions: [
      storeDown,
      // Ends just before the next read of the list, which is read every second.
      wait(3700),
      { kind: "replace", router: 2 },
      wait(3000),
    ],
    expected: ["outage", "outage", "cut_off"],
  },
];

for (const { name, size, actions, expected } of modes) {
  test(name, async () => {
    const simulation = new CoordinatorLeaseSimulation(size ?? 3);
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

test("a router in an outage adopts newer rows from a witness", async () => {
  const simulation = new CoordinatorLeaseSimulation(3);
  await simulation.advance(4000);
  await simulation.run(disconnectStore(0));
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
  await simulation.run(disconnectStore(1));
  await simulation.run(disconnectStore(2));
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

test("a promise blocks takeovers and confirmations until it ends", async () => {
  const simulation = new CoordinatorLeaseSimulation(3);
  await simulation.advance(4000);
  await simulation.run({ kind: "changeCatalogue" });
  await simulation.advance(1000);
  for (const action of ALL_ROUTERS_DISCONNECTED) await simulation.run(action);
  await simulation.advance(3000);
  const { contact, views } = simulation.routers[1]!;
  assert.equal(contact.mayActOnStore(), false);
  await simulation.run({ kind: "changeCatalogue" });
  await simulation.run(disconnectStore(1, false));
  const reportedOldVersion = { underPromise: false };
  for (let step = 0; step < 200; step++) {
    await simulation.advance(10);
    if (views.catalogue.version === 2 && !contact.mayActOnStore()) {
      reportedOldVersion.underPromise = true;
      assert.equal(contact.status().version, 1);
    }
  }
  assert.ok(
    reportedOldVersion.underPromise,
    "the version must be adopted during a promise",
  );
  assert.equal(contact.mayActOnStore(), true);
  assert.equal(contact.status().version, 2);
  simulation.end();
});

test("catalogue.changed triggers a poll before the interval has passed", async () => {
  const simulation = new CoordinatorLeaseSimulation(3);
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

test("rows.get returns only the catalogue and assignments", async () => {
  const simulation = new CoordinatorLeaseSimulation(3);
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

test("notifies of mode changes that time alone causes", async () => {
  const simulation = new CoordinatorLeaseSimulation(3);
  await simulation.advance(4000);
  const { contact } = simulation.routers[0]!;
  await simulation.run(disconnectStore(0));
  let notified = false;
  void contact.changed.next().then(() => notified = true);
  await simulation.advance(2000);
  assert.equal(notified, true);
  simulation.end();
});

test("a router without a witness's newer catalogue is cut off", async () => {
  const simulation = new CoordinatorLeaseSimulation(3);
  await simulation.advance(4000);
  await simulation.run({ kind: "changeCatalogue" });
  await simulation.advance(1000);
  await simulation.run(disconnectStore(0));
  await simulation.run({ kind: "changeCatalogue" });
  await simulation.advance(1000);
  for (const router of simulation.routers) {
    const { contact, clock, vm, peerUrl } = router;
    const handlers = contact.handlers()
      .filter(({ method }) => method !== "rows.get");
    simulation.peers.listen(peerUrl, { vm, process: clock, handlers });
  }
  for (const action of ALL_ROUTERS_DISCONNECTED) await simulation.run(action);
  await simulation.advance(4000);
  assert.deepEqual(
    simulation.routers.map((router) => router.contact.mode()),
    ["cut_off", "outage", "outage"],
  );
  simulation.end();
});
