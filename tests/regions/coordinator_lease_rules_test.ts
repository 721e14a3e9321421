import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreContact } from "../../src/vms/store_contact.ts";
import { CoordinatorLeaseSimulation } from "../support/coordinator_lease_simulation.ts";

type Rules = ConstructorParameters<typeof CoordinatorLeaseSimulation>[1];

/** Takes over the lease although its promise as a witness is in force. */
class TakesOverDespitePromise extends StoreContact {
  override mayActOnStore(): boolean {
    return true;
  }
}

/** Confirms versions although its promise as a witness is in force. */
class ConfirmsDespitePromise extends StoreContact {
  override confirmableVersion(): number {
    return Number.MAX_SAFE_INTEGER;
  }
}

/** Continues as coordinator without the promise of any witness. */
class HoldsWithoutPromises extends StoreContact {
  override excludesTakeover(): boolean {
    return true;
  }
}

/** Every router reads a lease row that names it as the only witness. */
const allNamedAsWitnesses: Rules = {
  table: (table, { vm, incarnation }) => ({
    transact: (transaction, signal) => table.transact(transaction, signal),
    readRows: (query, signal) =>
      table.readRows(query, signal).map((rows) => {
        for (const row of rows.rows) {
          if (!row.key.startsWith("coordinators/")) continue;
          const value = row.value as { witnessIncarnations?: unknown };
          value.witnessIncarnations = { [vm]: incarnation };
        }
        return rows;
      }),
  }),
};

const cases: {
  rule: string;
  without: Rules;
  failure: RegExp;
  size: number;
  schedule: (simulation: CoordinatorLeaseSimulation) => Promise<void>;
}[] = [
  {
    rule: "a witness confirms no version while its promise is in force",
    without: { Contact: ConfirmsDespitePromise },
    failure: /in outage serves version 1 after 2/,
    size: 3,
    async schedule(simulation) {
      for (let router = 0; router < 3; router++) {
        await simulation.run({ kind: "disconnectStore", router, on: true });
      }
      await simulation.run({ kind: "changeCatalogue" });
      await simulation.advance(5000);
      await simulation.run({ kind: "disconnectStore", router: 1, on: false });
      await simulation.advance(2000);
    },
  },
  {
    rule: "a witness does not take over while its promise is in force",
    without: { Contact: TakesOverDespitePromise },
    failure: /two holders/,
    size: 2,
    async schedule(simulation) {
      const router = simulation.routers.indexOf(simulation.holders()[0]!);
      // Shorter than the TTL, so that the witness's observation continues.
      await simulation.run({ kind: "storeDown", on: true });
      await simulation.advance(700);
      await simulation.run({ kind: "disconnectStore", router, on: true });
      await simulation.run({ kind: "storeDown", on: false });
      await simulation.advance(5000);
    },
  },
  {
    rule: "a holder without store contact needs the promise of every witness",
    without: { Contact: HoldsWithoutPromises },
    failure: /two holders/,
    size: 3,
    async schedule(simulation) {
      const holder = simulation.routers.indexOf(simulation.holders()[0]!);
      await simulation.run({ kind: "partition", routerBits: 1 << holder });
      await simulation.advance(5000);
    },
  },
  {
    rule: "only named witnesses take over from a holder that may be alive",
    without: allNamedAsWitnesses,
    failure: /two holders/,
    size: 7,
    async schedule(simulation) {
      const holder = simulation.holders()[0]!;
      const named = Object.keys(holder.contact.witnesses());
      assert.equal(named.length, 5);
      const outsider = simulation.routers.findIndex((router) =>
        router !== holder && !named.includes(router.vm)
      );
      await simulation.run({
        kind: "partition",
        routerBits: 127 - (1 << outsider),
      });
      await simulation.advance(8000);
      assert.ok(simulation.counts.heldInOutage > 0);
    },
  },
];

for (const { rule, without, failure, size, schedule } of cases) {
  test(`without this rule a run fails: ${rule}`, async () => {
    for (const rules of [{}, without]) {
      const simulation = new CoordinatorLeaseSimulation(size, rules);
      await simulation.advance(4000);
      await simulation.run({ kind: "changeCatalogue" });
      await simulation.advance(1000);
      await schedule(simulation);
      simulation.end();
      if (rules === without) {
        assert.match(simulation.violations.join("\n"), failure);
      } else assert.deepEqual(simulation.violations, []);
    }
  });
}

test("a former holder does not act after its successor left the VM list", async () => {
  const simulation = new CoordinatorLeaseSimulation(4);
  await simulation.advance(4000);
  const holder = simulation.routers.indexOf(simulation.holders()[0]!);
  const neighbour = (holder + 1) % 4;
  await simulation.run({
    kind: "partition",
    routerBits: (1 << holder) | (1 << neighbour),
  });
  await simulation.advance(3000);
  assert.equal(simulation.holders()[0]?.lease.held()?.epoch, 2);
  for (const router of [(holder + 2) % 4, (holder + 3) % 4]) {
    await simulation.run({ kind: "replace", router });
  }
  await simulation.advance(5000);
  assert.deepEqual(simulation.violations, []);
  assert.deepEqual(simulation.holders(), []);
  simulation.end();
});

test("a witness that restarts after it announced leaving is no longer named", async () => {
  const simulation = new CoordinatorLeaseSimulation(3);
  await simulation.advance(4000);
  const holder = simulation.routers.indexOf(simulation.holders()[0]!);
  const witness = (holder + 1) % 3;
  await simulation.run({ kind: "disconnectStore", router: holder, on: true });
  await simulation.run({
    kind: "disconnectStore",
    router: (holder + 2) % 3,
    on: true,
  });
  await simulation.run({ kind: "stop", router: witness });
  await simulation.advance(3000);
  assert.equal(simulation.routers[holder]!.contact.mode(), "outage");
  await simulation.run({ kind: "start", router: witness });
  await simulation.advance(6000);
  assert.deepEqual(simulation.violations, []);
  assert.deepEqual(simulation.holders(), [simulation.routers[holder]]);
  simulation.end();
});

test("a takeover whose answer is lost stops the former holder", async () => {
  let disconnectsWriter = false;
  const simulation: CoordinatorLeaseSimulation = new CoordinatorLeaseSimulation(
    2,
    {
      table: (table, { vm }) => ({
        readRows: (query, signal) => table.readRows(query, signal),
        transact(transaction, signal) {
          // The store applies the write; then the writer loses store contact.
          if (disconnectsWriter && vm === successor.vm) {
            setImmediate(() => simulation.store.disconnectedVms.add(vm));
          }
          return table.transact(transaction, signal);
        },
      }),
    },
  );
  await simulation.advance(4000);
  const [first] = simulation.holders();
  const holder = simulation.routers.indexOf(first!);
  const successor = simulation.routers[1 - holder]!;
  disconnectsWriter = true;
  await simulation.run({ kind: "disconnectStore", router: holder, on: true });
  await simulation.advance(5000);
  const row = simulation.store.get("coordinators/sierra").value;
  assert.equal((row as { epoch: number }).epoch, 2, "the write took effect");
  assert.equal(successor.contact.mode(), "outage");
  assert.equal(first!.contact.mode(), "outage");
  assert.deepEqual(simulation.holders(), []);
  disconnectsWriter = false;
  simulation.store.disconnectedVms.delete(successor.vm);
  await simulation.advance(3000);
  assert.deepEqual(simulation.holders(), [successor]);
  assert.deepEqual(simulation.violations, []);
  simulation.end();
});
