import assert from "node:assert/strict";
import { test } from "node:test";
import { rendezvousScore } from "../../src/base/rendezvous_score.ts";

// Guards against names that differ in their last characters alone and get
// scores in the same order for every owner.
test("every item is the first choice of about as many owners", () => {
  const owners = Array.from({ length: 1000 }, (_, index) => `edge-${index}`);
  const items = Array.from({ length: 10 }, (_, index) => `upstream-${index}`);
  const firsts = new Map<string, number>();
  for (const owner of owners) {
    const [first] = items.toSorted((a, b) =>
      rendezvousScore(owner, b) - rendezvousScore(owner, a)
    );
    if (first !== undefined) firsts.set(first, (firsts.get(first) ?? 0) + 1);
  }
  assert.equal(firsts.size, items.length);
  // 100 in the mean with a standard deviation of 9.5; five of them.
  for (const count of firsts.values()) {
    assert.ok(Math.abs(count - 100) <= 48, `${count}`);
  }
});
