import assert from "node:assert/strict";
import { test } from "node:test";
import { errAsync, okAsync } from "neverthrow";
import type { MemberRow } from "../../src/vms/member_row.ts";
import { CoordinatorLeaseSimulation } from "../support/coordinator_lease_simulation.ts";

function rowOf(simulation: CoordinatorLeaseSimulation, vm: string) {
  return simulation.store.get(`members/${vm}`).value as MemberRow | null;
}

test("the row is written at start and whenever witnesses change", async () => {
  const simulation = new CoordinatorLeaseSimulation(3);
  await simulation.advance(3000);
  assert.deepEqual(rowOf(simulation, "vm0")?.witnesses, ["vm1", "vm2"]);
  const { revision } = simulation.store.get("members/vm0");
  await simulation.advance(10_000);
  assert.equal(simulation.store.get("members/vm0").revision, revision);
  await simulation.run({ kind: "stop", router: 1 });
  await simulation.advance(3000);
  assert.deepEqual(rowOf(simulation, "vm0")?.witnesses, ["vm2"]);
  assert.equal(rowOf(simulation, "vm1"), null, "removed at a graceful stop");
  simulation.end();
});

test("the row names a restarted witness by its new incarnation", async () => {
  const simulation = new CoordinatorLeaseSimulation(3);
  await simulation.advance(3000);
  await simulation.run({ kind: "kill", router: 1 });
  await simulation.run({ kind: "start", router: 1 });
  await simulation.advance(2000);
  assert.equal(
    rowOf(simulation, "vm0")?.witnessIncarnations?.vm1,
    simulation.routers[1]!.incarnation,
  );
  simulation.end();
});

test("registration retries with back-off while the store is down", async () => {
  const simulation = new CoordinatorLeaseSimulation(1);
  simulation.store.down = true;
  await simulation.advance(60_000);
  const attempts =
    simulation.store.reads.filter((prefix) => prefix === "members/vm0").length;
  assert.ok(attempts > 8 && attempts < 20, `${attempts} attempts in 60 s`);
  simulation.store.down = false;
  await simulation.advance(6000);
  assert.equal(
    rowOf(simulation, "vm0")?.incarnation,
    simulation.routers[0]!.incarnation,
  );
  simulation.end();
});

test("registration completes after writes with lost answers", async () => {
  let lost = 2;
  const simulation = new CoordinatorLeaseSimulation(1, {
    table: (table) => ({
      readRows: (query, signal) => table.readRows(query, signal),
      transact: (transaction, signal) =>
        table.transact(transaction, signal).andThen((outcome) =>
          lost-- > 0
            ? errAsync({ kind: "unknown" as const, message: "lost" })
            : okAsync(outcome)
        ),
    }),
  });
  await simulation.advance(5000);
  assert.notEqual(simulation.routers[0]!.registration.revision, undefined);
  simulation.end();
});

test("a process does not overwrite the member row of a newer one", async () => {
  const simulation = new CoordinatorLeaseSimulation(2);
  await simulation.advance(3000);
  const row = { ...rowOf(simulation, "vm0"), incarnation: "newer" };
  simulation.store.apply({
    conditions: [],
    writes: [{ key: "members/vm0", value: row }],
  });
  // A change of witnesses causes the older process to write.
  await simulation.run({ kind: "stop", router: 1 });
  await simulation.advance(10_000);
  assert.equal(rowOf(simulation, "vm0")?.incarnation, "newer");
  simulation.end();
});
