import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreContact } from "../../src/vms/store_contact.ts";
import { RegionSimulation } from "../support/region_simulation.ts";

type Rules = ConstructorParameters<typeof RegionSimulation>[1];

/** Breaks promises to other routers. */
class WithoutPromise extends StoreContact {
  override mayActOnStore(): boolean {
    return true;
  }
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
    without: { Contact: WithoutPromise },
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
