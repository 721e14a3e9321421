import assert from "node:assert/strict";
import { test } from "node:test";
import { OwnershipSimulation } from "../support/ownership_simulation.ts";

// OwnershipSimulation checks at each step that no key and no upstream has two
// owners.

function coordinatorOf(region: OwnershipSimulation) {
  return [...region.routers.values()]
    .find((router) => router.lease.held() !== undefined)!;
}

test("a new region serves every key within 3 s, balanced", async () => {
  const region = new OwnershipSimulation(1);
  await region.advance(3000);
  assert.deepEqual(region.unservedKeys(), []);
  for (const service of ["ledger", "usage"]) {
    assert.deepEqual(Object.values(region.shardCounts(service)), [6, 6, 6, 6]);
  }
});

// Guards against a recovery that takes longer than the budget of section 6.3 of
// the design page.
const losses: {
  lost: string;
  withinMs: number;
  act: (region: OwnershipSimulation) => void;
}[] = [
  {
    lost: "an upstream",
    withinMs: 3300,
    act: (region) => {
      region.upstreams.get("ledger-1")!.reachable = false;
      region.upstreams.get("usage-2")!.reachable = false;
    },
  },
  {
    lost: "a dispatcher",
    withinMs: 2300,
    act: (region) => {
      const holder = coordinatorOf(region);
      [...region.routers.values()].find((router) => router !== holder)!
        .process
        .kill();
    },
  },
  {
    lost: "coordinator and dispatcher",
    withinMs: 3800,
    act: (region) => coordinatorOf(region).process.kill(),
  },
  {
    lost: "the coordinator's failure domain",
    // 3.8 s of the budget, and 1 s in which requests of the service that does
    // not check grants may still run.
    withinMs: 4800,
    act: (region) => {
      const { vm } = coordinatorOf(region);
      const domain = region.vms.find(({ id }) => id === vm)!.failureDomain;
      for (const { id, failureDomain } of region.vms) {
        if (failureDomain !== domain) continue;
        region.routers.get(id)?.process.kill();
        const upstream = region.upstreams.get(id);
        if (upstream !== undefined) upstream.reachable = false;
      }
    },
  },
];

for (const { lost, withinMs, act } of losses) {
  test(`every key is served ${withinMs} ms after the loss of ${lost}`, async () => {
    for (const seed of [1, 2, 3]) {
      const region = new OwnershipSimulation(seed);
      await region.advance(3500 + region.faults.next() * 300);
      act(region);
      await region.advance(withinMs);
      assert.deepEqual(region.unservedKeys(), [], `seed ${seed}`);
    }
  });
}

test("a failure domain taken out of service owns nothing after 3 s and gets its shards back within 6 s", async () => {
  const region = new OwnershipSimulation(4);
  await region.advance(3500);
  region.setOutOfService({ vms: [], failureDomains: ["west"] });
  await region.advance(3000);
  assert.deepEqual(Object.keys(region.shardCounts("ledger")).sort(), [
    "ledger-0",
    "ledger-2",
  ]);
  assert.deepEqual(region.unservedKeys(), []);
  region.setOutOfService({ vms: [], failureDomains: [] });
  await region.advance(6000);
  assert.deepEqual(Object.values(region.shardCounts("ledger")), [6, 6, 6, 6]);
});

test("a leaving router hands over every dispatch term and ends", async () => {
  const region = new OwnershipSimulation(5);
  await region.advance(3500);
  const router = region.routers.get("router-3")!;
  router.leaving.abort();
  await region.advance(3000);
  assert.equal(router.hasLeft, true);
  assert.deepEqual(region.unservedKeys(), []);
  const { tenures } = region.assignmentRow("ledger");
  assert.ok(Object.values(tenures).every(({ vm }) => vm !== "router-3"));
});

test("in a store outage nothing is written and every key is served", async () => {
  const region = new OwnershipSimulation(6);
  await region.advance(3500);
  region.keepCoordinatorLeases = true;
  region.table.down = true;
  await region.advance(1600);
  const { committedTransactions: committed } = region.table;
  region.upstreams.get("ledger-1")!.reachable = false;
  region.setListedState("usage-0", "leaving");
  await region.advance(5000);
  assert.equal(region.table.committedTransactions, committed);
  const lost = region.unservedKeys();
  assert.deepEqual(lost, []);
});

test("a pinned key moves to another upstream and back", async () => {
  const region = new OwnershipSimulation(7);
  await region.advance(3500);
  const digest = "0000000300000001";
  region.hotKeys = [
    { service: "ledger", digest, upstream: "any", ratePerS: 9 },
  ];
  await region.advance(1000);
  assert.deepEqual(Object.keys(region.assignmentRow("ledger").pins), [digest]);
  region.hotKeys = [];
  await region.advance(62_000);
  assert.deepEqual(region.assignmentRow("ledger").pins, {});
  assert.deepEqual(region.unservedKeys(), []);
});
