import assert from "node:assert/strict";
import { test } from "node:test";
import { errAsync, okAsync } from "neverthrow";
import { CoordinatorLeaseSimulation } from "../support/coordinator_lease_simulation.ts";
import type { SimulationAction } from "../support/simulation_action.ts";

const KEY = "coordinators/sierra";
const signal = new AbortController().signal;

async function startRegion(
  rules: ConstructorParameters<typeof CoordinatorLeaseSimulation>[1] = {},
) {
  const simulation = new CoordinatorLeaseSimulation(4, rules);
  await simulation.advance(4000);
  const holder = simulation.holders()[0]!;
  const router = simulation.routers.indexOf(holder);
  return { simulation, holder, router };
}

/**
 * Returns the time in milliseconds until another process holds the lease, or
 * undefined if none does within the limit.
 */
async function takeoverMs(
  simulation: CoordinatorLeaseSimulation,
  limitMs: number,
) {
  const before = simulation.holders()[0]?.incarnation;
  const start = simulation.clock.now();
  while (simulation.clock.now() - start < limitMs) {
    await simulation.advance(10);
    const [holder] = simulation.holders();
    if (holder !== undefined && holder.incarnation !== before) {
      return simulation.clock.now() - start;
    }
  }
  return undefined;
}

const losses: {
  name: string;
  actions: (router: number) => SimulationAction[];
  withinMs: number;
}[] = [
  {
    name: "a killed holder is replaced within TTL, poll and heartbeat",
    actions: (router) => [{ kind: "kill", router }],
    withinMs: 1600,
  },
  {
    name: "a holder without contact to the store and its peers is replaced",
    actions: (router) => [{ kind: "partition", routerBits: 1 << router }],
    withinMs: 1600,
  },
  {
    name: "a paused holder is replaced",
    actions: (router) => [{ kind: "pause", router, on: true }],
    withinMs: 1600,
  },
  {
    name: "a holder that stops is replaced without waiting for the TTL",
    actions: (router) => [{ kind: "stop", router }],
    withinMs: 400,
  },
  {
    name:
      "a holder that is killed and restarted acquires the lease with a new epoch",
    actions: (
      router,
    ) => [{ kind: "kill", router }, { kind: "start", router }],
    withinMs: 1600,
  },
];

for (const { name, actions, withinMs } of losses) {
  test(name, async () => {
    const { simulation, router } = await startRegion();
    for (const action of actions(router)) await simulation.run(action);
    const ms = await takeoverMs(simulation, 10_000);
    assert.ok(ms !== undefined && ms <= withinMs, `took ${ms} ms`);
    assert.equal(simulation.holders()[0]?.lease.held()?.epoch, 2);
    assert.deepEqual(simulation.violations, []);
    simulation.end();
  });
}

test("a holder that was paused past the TTL does not act before it renews", async () => {
  const { simulation, holder, router } = await startRegion();
  // No other router can take over, so that only the holder's own check of the
  // expiry is tested.
  for (let other = 0; other < 4; other++) {
    if (other !== router) {
      await simulation.run({
        kind: "disconnectStore",
        router: other,
        on: true,
      });
    }
  }
  await simulation.run({ kind: "pause", router, on: true });
  await simulation.advance(1300);
  holder.clock.paused = false;
  assert.equal(holder.lease.held(), undefined);
  const written = await holder.lease.writeFenced(
    { writes: [], conditions: [] },
    signal,
  );
  assert.equal(written._unsafeUnwrapErr().kind, "not_held");
  await simulation.advance(1000);
  assert.equal(holder.lease.held()?.epoch, 1);
  simulation.end();
});

for (const hangs of [false, true]) {
  test(`no gap in the lease or in service while the store ${hangs ? "hangs" : "is down"}`, async () => {
    const { simulation, holder } = await startRegion();
    const { revision } = simulation.store.get(KEY);
    let gaps = 0;
    for (const on of [true, false]) {
      if (!hangs) await simulation.run({ kind: "storeDown", on });
      for (let router = 0; hangs && router < 4; router++) {
        await simulation.run({ kind: "disconnectStore", router, on });
      }
      for (let step = 0; step < 600; step++) {
        await simulation.advance(10);
        if (
          holder.lease.held()?.epoch !== 1 ||
          simulation.routers.some(({ contact }) => contact.mode() === "cut_off")
        ) gaps += 1;
      }
      if (!on) break;
      await simulation.advance(54_000);
      assert.ok(
        simulation.store.get(KEY).revision - revision <= 1,
        "no renewal",
      );
    }
    assert.equal(gaps, 0);
    assert.deepEqual(simulation.violations, []);
    simulation.end();
  });
}

test("a renewal whose answer was lost is resolved by reading the row back", async () => {
  let loseAnswers = false;
  const { simulation, holder } = await startRegion({
    table: (table) => ({
      readRows: (query, limit) => table.readRows(query, limit),
      transact: (transaction, limit) =>
        table.transact(transaction, limit).andThen((outcome) =>
          loseAnswers
            ? errAsync({ kind: "unknown" as const, message: "lost" })
            : okAsync(outcome)
        ),
    }),
  });
  loseAnswers = true;
  await simulation.advance(5000);
  assert.equal(holder.lease.held()?.epoch, 1);
  assert.deepEqual(simulation.holders(), [holder]);
  simulation.end();
});

test("a fenced write is rejected once another router has taken over", async () => {
  const { simulation, holder } = await startRegion();
  const rows = [{ key: "assignments/sierra/bookings", value: 1 }];
  const before = holder.lease.held()!;
  const write = holder.lease.writeFenced(
    { writes: rows, conditions: [] },
    signal,
  );
  // A renewal is due while the write waits, and must not invalidate it.
  await simulation.advance(600);
  assert.equal((await write)._unsafeUnwrap().committed, true);
  assert.ok(holder.lease.held()!.revision > before.revision);

  const lease = simulation.store.get(KEY);
  simulation.store.apply({
    conditions: [],
    writes: [{
      key: KEY,
      value: {
        ...lease.value as object,
        vm: "vm9",
        incarnation: "other",
        epoch: 2,
        writeId: "other",
      },
    }],
  });
  const late = holder.lease.writeFenced(
    { writes: rows, conditions: [] },
    signal,
  );
  await simulation.advance(100);
  assert.equal((await late)._unsafeUnwrap().committed, false);
  await simulation.advance(400);
  assert.equal(holder.lease.held(), undefined);
  simulation.end();
});

test("a row of a newer schema is not overwritten", async () => {
  const { simulation } = await startRegion();
  simulation.store.apply({
    conditions: [],
    writes: [{ key: KEY, value: { schema: 2 } }],
  });
  await simulation.advance(5000);
  assert.deepEqual(simulation.store.get(KEY).value, { schema: 2 });
  assert.deepEqual(simulation.holders(), []);
  simulation.end();
});
