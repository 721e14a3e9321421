import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LeaveSimulation } from "../support/leave_simulation.ts";

const SEEDS = Number(process.env.LEAVE_SEEDS ?? 150);
const DEPLOYMENTS = [
  { drainMs: 2500, contactMs: 3000 },
  { drainMs: 3000, contactMs: 4000 },
  { drainMs: 4000, contactMs: 4000 },
];

// Guards against requests to upstreams that left while VMs were cut off (DRAIN).
describe("upstreams that leave", () => {
  for (const bounds of DEPLOYMENTS) {
    it(`get no request ${bounds.drainMs} ms later`, async (t) => {
      const late: string[] = [];
      let judged = 0;
      for (let seed = 1; seed <= SEEDS; seed++) {
        const simulation = new LeaveSimulation(seed, bounds);
        t.mock.method(Math, "random", simulation.random);
        await simulation.run();
        t.mock.restoreAll();
        judged += simulation.judgedLeaves;
        late.push(...simulation.late.map((line) => `seed ${seed}: ${line}`));
      }
      assert.ok(judged > SEEDS);
      assert.deepEqual(late, []);
    });
  }
});
