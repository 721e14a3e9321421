import assert from "node:assert/strict";
import { test } from "node:test";
import { RegionWorld } from "../support/region_world.ts";

// RegionWorld checks at each step that no key and no upstream has two owners.

function coordinatorOf(world: RegionWorld) {
  return [...world.routers.values()]
    .find((router) => router.lease.held() !== undefined)!;
}

test("a new region serves every key within 3 s, balanced", async () => {
  const world = new RegionWorld(1);
  await world.run(3000);
  assert.deepEqual(world.unserved(), []);
  for (const service of ["ledger", "usage"]) {
    assert.deepEqual(Object.values(world.counts(service)), [6, 6, 6, 6]);
  }
});

// Guards against a recovery that takes longer than the budget of section 6.3 of
// the design page.
const losses: {
  lost: string;
  withinMs: number;
  act: (world: RegionWorld) => void;
}[] = [
  {
    lost: "an upstream",
    withinMs: 3300,
    act: (world) => {
      world.upstreams.get("ledger-1")!.reachable = false;
      world.upstreams.get("usage-2")!.reachable = false;
    },
  },
  {
    lost: "a dispatcher",
    withinMs: 2300,
    act: (world) => {
      const holder = coordinatorOf(world);
      [...world.routers.values()].find((router) => router !== holder)!.process
        .kill();
    },
  },
  {
    lost: "coordinator and dispatcher",
    withinMs: 3800,
    act: (world) => coordinatorOf(world).process.kill(),
  },
  {
    lost: "the coordinator's failure domain",
    // 3.8 s of the budget, and 1 s in which requests of the service that does
    // not check grants may still run.
    withinMs: 4800,
    act: (world) => {
      const { vm } = coordinatorOf(world);
      const domain = world.vms.find(({ id }) => id === vm)!.failureDomain;
      for (const { id, failureDomain } of world.vms) {
        if (failureDomain !== domain) continue;
        world.routers.get(id)?.process.kill();
        const upstream = world.upstreams.get(id);
        if (upstream !== undefined) upstream.reachable = false;
      }
    },
  },
];

for (const { lost, withinMs, act } of losses) {
  test(`every key is served ${withinMs} ms after the loss of ${lost}`, async () => {
    for (const seed of [1, 2, 3]) {
      const world = new RegionWorld(seed);
      await world.run(3500 + world.faults.next() * 300);
      act(world);
      await world.run(withinMs);
      assert.deepEqual(world.unserved(), [], `seed ${seed}`);
    }
  });
}

test("a failure domain taken out of service owns nothing after 3 s and gets its shards back later", async () => {
  const world = new RegionWorld(4);
  await world.run(3500);
  world.setOut({ vms: [], failureDomains: ["west"] });
  await world.run(3000);
  assert.deepEqual(Object.keys(world.counts("ledger")).sort(), [
    "ledger-0",
    "ledger-2",
  ]);
  assert.deepEqual(world.unserved(), []);
  world.setOut({ vms: [], failureDomains: [] });
  await world.run(6000);
  assert.deepEqual(Object.values(world.counts("ledger")), [6, 6, 6, 6]);
});

test("a leaving router hands over every dispatch term and ends", async () => {
  const world = new RegionWorld(5);
  await world.run(3500);
  const router = world.routers.get("router-3")!;
  router.leaving.abort();
  await world.run(3000);
  assert.equal(router.left, true);
  assert.deepEqual(world.unserved(), []);
  const { tenures } = world.row("ledger");
  assert.ok(Object.values(tenures).every(({ vm }) => vm !== "router-3"));
});

test("in a store outage nothing is written and every key is served", async () => {
  const world = new RegionWorld(6);
  await world.run(3500);
  world.keepLeases = true;
  world.table.down = true;
  await world.run(1600);
  const { writes } = world.table;
  world.upstreams.get("ledger-1")!.reachable = false;
  world.setListed("usage-0", "leaving");
  await world.run(5000);
  assert.equal(world.table.writes, writes);
  const lost = world.unserved();
  assert.deepEqual(lost, []);
});

test("a pinned key moves to another upstream and back", async () => {
  const world = new RegionWorld(7);
  await world.run(3500);
  const digest = "0000000300000001";
  world.hotKeys = [
    { service: "ledger", digest, upstream: "any", ratePerS: 9 },
  ];
  await world.run(1000);
  assert.deepEqual(Object.keys(world.row("ledger").pins), [digest]);
  world.hotKeys = [];
  await world.run(62_000);
  assert.deepEqual(world.row("ledger").pins, {});
  assert.deepEqual(world.unserved(), []);
});
