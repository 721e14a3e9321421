import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { planRanges } from "../../src/ranges/plan_ranges.ts";
import type { KeyRange } from "../../src/ranges/key_range.ts";

const LAST_KEY = 65_535;
const lost = { id: "u-lost", incarnation: 1 };

function upstream(id: string, usable = true) {
  return { id, incarnation: 1, usable, capacityPerS: 7, limitPerS: 7 };
}

function range(first: number, last: number, owner: string): KeyRange {
  return {
    first,
    last,
    owner: { id: owner, incarnation: 1 },
    fence: 1,
    previous: [],
  };
}

// Guards against an earlier owner that never receives the token of its keys,
// because their range has been changed before.
describe("unfenced owners of a range", () => {
  const cases = [
    {
      name: "stay when the range is merged with a neighbour",
      ranges: [
        { ...range(0, 99, "u-1"), unfenced: [lost] },
        range(100, LAST_KEY, "u-1"),
      ],
      upstreams: [upstream("u-1")],
      expected: [lost],
    },
    {
      name: "stay when the range moves",
      ranges: [{ ...range(0, LAST_KEY, "u-1"), unfenced: [lost] }],
      upstreams: [upstream("u-1", false), upstream("u-2")],
      expected: [lost],
    },
    {
      name:
        "keep the upstream to which the range moves, until it has its grant",
      ranges: [{ ...range(0, LAST_KEY, "u-1"), unfenced: [lost] }],
      upstreams: [upstream("u-1", false), upstream(lost.id)],
      expected: [lost],
    },
  ];
  for (const { name, ranges, upstreams, expected } of cases) {
    it(name, () => {
      const planned = planRanges({
        document: { schema: 1, nextFence: 2, ranges },
        upstreams,
        rates: [],
      });
      for (const { unfenced } of planned?.ranges ?? []) {
        assert.deepEqual(unfenced, expected);
      }
      assert.ok(planned !== undefined);
    });
  }
});
