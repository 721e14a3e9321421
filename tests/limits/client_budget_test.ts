import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { ClientBudget } from "../../src/limits/client_budget.ts";
import type { ClientKind } from "../../src/limits/client_kind.ts";

const MEMORY_BYTES = 1000;
const LIMITS = {
  memoryBytes: MEMORY_BYTES,
  connections: 10,
  headerLines: 100,
  unreadTimeoutMs: 1000,
};
/** `MEMORY_BYTES` and the reserve. */
const MOST_BYTES = 1125;

const step = fc.oneof(
  fc.record({
    kind: fc.constantFrom<ClientKind>("callers", "others"),
    bytes: fc.integer({ min: 0, max: 1500 }),
  }),
  // Index of the holder that gives its bytes back.
  fc.nat(50),
);

describe("ClientBudget", () => {
  // Guards against memory above the limit, and against bytes that are never
  // given back, which would lock all clients out.
  it("is never exceeded and always returns to zero", () => {
    fc.assert(fc.property(
      fc.array(step, { maxLength: 100 }),
      fc.array(fc.nat(50), { maxLength: 5 }),
      (steps, reclaimed) => {
        const budget = new ClientBudget(LIMITS);
        const held: number[] = [];
        const giveBack = (index: number) => {
          const [bytes] = held.splice(index % Math.max(1, held.length), 1);
          if (bytes !== undefined) budget.give(bytes);
        };
        budget.addReclaimer(() => {
          const index = reclaimed.pop();
          if (index !== undefined) giveBack(index);
        });
        for (const next of steps) {
          if (typeof next === "number") giveBack(next);
          else {
            const most = next.kind === "callers" ? MEMORY_BYTES : MOST_BYTES;
            if (budget.take(next.bytes, next.kind)) {
              held.push(next.bytes);
              assert.equal(budget.used <= most, true, `${budget.used} bytes`);
            }
          }
          assert.equal(budget.used <= MOST_BYTES, true, `${budget.used} bytes`);
          assert.equal(budget.used, held.reduce((sum, n) => sum + n, 0));
        }
        while (held.length > 0) giveBack(0);
        assert.equal(budget.used, 0);
      },
    ));
  });

  it("keeps a reserve for readiness checks and other VMs", () => {
    const budget = new ClientBudget(LIMITS);
    assert.equal(budget.take(MEMORY_BYTES, "callers"), true);
    assert.equal(budget.take(1, "callers"), false);
    assert.equal(budget.take(1, "others"), true);
  });
});
