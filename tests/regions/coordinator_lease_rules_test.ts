import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreContact } from "../../src/vms/store_contact.ts";
import { RegionSimulation } from "../support/region_simulation.ts";

type Rules = ConstructorParameters<typeof RegionSimulation>[1];

/** Takes a lease over in spite of a promise. */
class TakesOver extends StoreContact {
  override mayActOnStore(): boolean {
    return true;
  }
}

/** Confirms versions in spite of a promise. */
class Confirms extends StoreContact {
  override confirmableVersion(): number {
    return Number.MAX_SAFE_INTEGER;
  }
}

/** Goes on as coordinator although no witness promised anything. */
class WithoutWitnesses extends StoreContact {
  override covers(): boolean {
    return true;
  }
}

/** Every router believes that the holder named it as a witness. */
const withoutNaming: Rules = {
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
  schedule: (simulation: RegionSimulation) => Promise<void>;
}[] = [
  {
    rule: "a witness confirms no version while its promise is in force",
    without: { Contact: Confirms },
    failure: /in outage serves version 1 after 2/,
    size: 3,
    async schedule(simulation) {
      for (let router = 0; router < 3; router++) {
        await simulation.run({ kind: "cutStore", router, on: true });
      }
      await simulation.run({ kind: "changeCatalogue" });
      await simulation.advance(5000);
      await simulation.run({ kind: "cutStore", router: 1, on: false });
      await simulation.advance(2000);
    },
  },
  {
    rule: "a witness takes no lease over while its promise is in force",
    without: { Contact: TakesOver },
    failure: /two holders/,
    size: 2,
    async schedule(simulation) {
      const router = simulation.routers.indexOf(simulation.holders()[0]!);
      // Shorter than the TTL, so that the witness's observation goes on.
      await simulation.run({ kind: "storeDown", on: true });
      await simulation.advance(700);
      await simulation.run({ kind: "cutStore", router, on: true });
      await simulation.run({ kind: "storeDown", on: false });
      await simulation.advance(5000);
    },
  },
  {
    rule: "a holder without contact needs the promise of every witness",
    without: { Contact: WithoutWitnesses },
    failure: /two holders/,
    size: 3,
    async schedule(simulation) {
      const holder = simulation.routers.indexOf(simulation.holders()[0]!);
      await simulation.run({ kind: "split", side: 1 << holder });
      await simulation.advance(5000);
    },
  },
  {
    rule: "only named witnesses take over from a holder that may be alive",
    without: withoutNaming,
    failure: /two holders/,
    size: 7,
    async schedule(simulation) {
      const holder = simulation.holders()[0]!;
      const named = Object.keys(holder.contact.witnesses());
      assert.equal(named.length, 5);
      const outsider = simulation.routers.findIndex((router) =>
        router !== holder && !named.includes(router.vm)
      );
      await simulation.run({ kind: "split", side: 127 - (1 << outsider) });
      await simulation.advance(8000);
      assert.ok(simulation.seen.heldInOutage > 0);
    },
  },
];

for (const { rule, without, failure, size, schedule } of cases) {
  test(`needed: ${rule}`, async () => {
    for (const rules of [{}, without]) {
      const simulation = new RegionSimulation(size, rules);
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

test("a holder does not go on after its successor was taken off the VM list", async () => {
  const simulation = new RegionSimulation(4);
  await simulation.advance(4000);
  const holder = simulation.routers.indexOf(simulation.holders()[0]!);
  const friend = (holder + 1) % 4;
  await simulation.run({ kind: "split", side: (1 << holder) | (1 << friend) });
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

test("a witness that restarts after its farewell is not named any more", async () => {
  const simulation = new RegionSimulation(3);
  await simulation.advance(4000);
  const holder = simulation.routers.indexOf(simulation.holders()[0]!);
  const witness = (holder + 1) % 3;
  await simulation.run({ kind: "cutStore", router: holder, on: true });
  await simulation.run({
    kind: "cutStore",
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

test("a takeover without an answer counts against the earlier holder", async () => {
  let armed = false;
  const simulation: RegionSimulation = new RegionSimulation(2, {
    table: (table, { vm }) => ({
      readRows: (query, signal) => table.readRows(query, signal),
      transact(transaction, signal) {
        // The write arrives; from then on the writer is cut off.
        if (armed && vm === taker.vm) {
          setImmediate(() => simulation.store.cut.add(vm));
        }
        return table.transact(transaction, signal);
      },
    }),
  });
  await simulation.advance(4000);
  const [first] = simulation.holders();
  const holder = simulation.routers.indexOf(first!);
  const taker = simulation.routers[1 - holder]!;
  armed = true;
  await simulation.run({ kind: "cutStore", router: holder, on: true });
  await simulation.advance(5000);
  const row = simulation.store.get("coordinators/sierra").value;
  assert.equal((row as { epoch: number }).epoch, 2, "the write took effect");
  assert.equal(taker.contact.mode(), "outage");
  assert.equal(first!.contact.mode(), "outage");
  assert.deepEqual(simulation.holders(), []);
  armed = false;
  simulation.store.cut.delete(taker.vm);
  await simulation.advance(3000);
  assert.deepEqual(simulation.holders(), [taker]);
  assert.deepEqual(simulation.violations, []);
  simulation.end();
});
