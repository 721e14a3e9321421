import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { CoordinatorLeaseSimulation } from "../support/coordinator_lease_simulation.ts";
import type { SimulationAction } from "../support/simulation_action.ts";

const SEED = Number(process.env.FC_SEED ?? Date.now() % 1_000_000_007);
const RUNS = Number(process.env.FC_RUNS ?? 40);
const STARTUP_MS = 4000;
// A holder whose VM is not on the VM list, and which no running process has
// ever read there, counts as absent after 30 s.
const RECOVERY_TIMEOUT_MS = 45_000;

const router = fc.nat({ max: 4 });
const on = fc.boolean();
const action: fc.Arbitrary<SimulationAction> = fc.oneof(
  {
    weight: 10,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.integer({ min: 1, max: 2500 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("storeDown" as const), on }),
  },
  fc.record({
    kind: fc.constant("storeDelay" as const),
    ms: fc.constantFrom(1, 1, 30, 250, 700, 1600),
  }),
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("disconnectStore" as const),
      router,
      on,
    }),
  },
  fc.record({ kind: fc.constant("loseAnswers" as const), router, on }),
  fc.record({
    kind: fc.constant("disconnectPeers" as const),
    router,
    other: router,
    on,
  }),
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("partition" as const),
      routerBits: fc.nat({ max: 31 }),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant("pause" as const), router, on }),
  },
  fc.record({ kind: fc.constant("kill" as const), router }),
  fc.record({ kind: fc.constant("stop" as const), router }),
  fc.record({ kind: fc.constant("replace" as const), router }),
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("start" as const), router }),
  },
  fc.record({
    kind: fc.constant("stepWallClock" as const),
    router,
    ms: fc.integer({ min: -3_600_000, max: 3_600_000 }),
  }),
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant("changeCatalogue" as const) }),
  },
);

test("random faults never cause two coordinators or a stale catalogue", async (t) => {
  t.diagnostic(`seed ${SEED}, ${RUNS} runs`);
  const counts = {
    held: 0,
    heldInOutage: 0,
    outage: 0,
    cutOff: 0,
    accepted: 0,
  };
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 3, max: 5 }),
      fc.array(action, { minLength: 10, maxLength: 50 }),
      async (size, actions) => {
        const simulation = new CoordinatorLeaseSimulation(size);
        await simulation.advance(STARTUP_MS);
        for (const next of actions) await simulation.run(next);
        assert.deepEqual(simulation.violations.slice(0, 3), []);
        simulation.heal();
        const deadline = simulation.clock.now() + RECOVERY_TIMEOUT_MS;
        while (
          simulation.holders().length === 0 && simulation.clock.now() < deadline
        ) {
          await simulation.advance(500);
          // Starts processes again that were still stopping before.
          simulation.heal();
        }
        await simulation.advance(2000);
        assert.deepEqual(simulation.violations.slice(0, 3), []);
        assert.equal(
          simulation.holders().length,
          1,
          "one holder once the faults have ended",
        );
        simulation.end();
        for (const key of Object.keys(counts) as (keyof typeof counts)[]) {
          counts[key] += simulation.counts[key];
        }
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
  t.diagnostic(`checks by state: ${JSON.stringify(counts)}`);
  for (const [state, count] of Object.entries(counts)) {
    assert.ok(count > 0, `no run reached the state ${state}`);
  }
});
