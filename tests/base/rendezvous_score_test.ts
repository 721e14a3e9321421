import assert from "node:assert/strict";
import { test } from "node:test";
import { rendezvousScore } from "../../src/base/rendezvous_score.ts";

// Guards against a hash that hardly mixes the last characters: items whose
// names differ only there would rank in the same order for every chooser.
test("first choices are spread evenly over the items", () => {
  const choosers = Array.from({ length: 1000 }, (_, index) => `edge-${index}`);
  const items = Array.from({ length: 10 }, (_, index) => `upstream-${index}`);
  const firsts = new Map<string, number>();
  for (const chooser of choosers) {
    const [first] = items.toSorted((a, b) =>
      rendezvousScore(chooser, b) - rendezvousScore(chooser, a)
    );
    if (first !== undefined) firsts.set(first, (firsts.get(first) ?? 0) + 1);
  }
  assert.equal(firsts.size, items.length);
  // The expected count is 100 with a standard deviation of 9.5; the limit is
  // five standard deviations.
  for (const count of firsts.values()) {
    assert.ok(Math.abs(count - 100) <= 48, `${count}`);
  }
});
