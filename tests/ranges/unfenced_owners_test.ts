import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { encodeRangeDocument } from "../../src/ranges/encode_range_document.ts";
import { planRanges } from "../../src/ranges/plan_ranges.ts";
import type { KeyRange } from "../../src/ranges/key_range.ts";
import { unfencedOwners } from "../../src/ranges/unfenced_owners.ts";

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

  // Guards against a row that exceeds the store's limit, so that no change of
  // owners can be written: 188 upstreams, many ranges, several losses.
  it("keep the row of 1,800 ranges below 64 KiB", () => {
    const ranges = Array.from({ length: 1800 }, (_, index): KeyRange => {
      const owners = Array.from({ length: 4 }, (_, n) => ({
        id: `i-${
          ((index * 7919 + n * 104_729) % 188 + 0x1000_0000).toString(16)
        }`,
        incarnation: 1_796_482_311_147 + (index * 31 + n * 17) % 188,
      }));
      return {
        ...range(index * 36, index * 36 + 35, "u-1"),
        owner: owners[3]!,
        fence: 10_000 + index,
        unfenced: unfencedOwners(
          owners[3],
          owners.slice(0, 1),
          owners.slice(1, 3),
        ),
      };
    });
    assert.deepEqual(ranges[0]?.unfenced?.length, 2);
    const row = encodeRangeDocument({ schema: 1, nextFence: 20_000, ranges });
    const bytes = Buffer.from(row).toString("base64").length;
    assert.ok(bytes < 64 * 1024, `${bytes} bytes`);
  });
});
