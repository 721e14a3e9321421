import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { planShards } from "../../src/shards/plan_shards.ts";

type Upstreams = Parameters<typeof planShards>[0]["upstreams"];
type Owners = (string | undefined)[];

const upstreamsOf = (ids: readonly string[]): Upstreams =>
  ids.map((id) => ({ id, weight: 1, state: "in" }));
const idsOf = (count: number) =>
  Array.from({ length: count }, (_, index) => `u${index}`);
const ownersOf = (letters: string): Owners => Array.from(letters);
const shardsOf = (count: number) => [...Array(count).keys()];

function countsOf(owners: Owners): Map<string, number> {
  const counts = new Map<string, number>();
  for (const owner of owners) {
    if (owner !== undefined) counts.set(owner, (counts.get(owner) ?? 0) + 1);
  }
  return counts;
}

function countMoves(before: Owners, after: Owners): number {
  return before.filter((owner, shard) => owner !== after[shard]).length;
}

function minMoves(before: Owners, ids: readonly string[]): number {
  const counts = countsOf(before);
  const lost = [...counts].filter(([id]) => !ids.includes(id))
    .reduce((sum, [, count]) => sum + count, 0);
  // A balanced plan leaves no upstream above the rounded-up mean and none below
  // the rounded-down mean.
  const mean = before.length / ids.length;
  const over = ids.reduce(
    (sum, id) => sum + Math.max(0, (counts.get(id) ?? 0) - Math.ceil(mean)),
    0,
  );
  const under = ids.reduce(
    (sum, id) => sum + Math.max(0, Math.floor(mean) - (counts.get(id) ?? 0)),
    0,
  );
  return Math.max(lost + over, under);
}

test("loss, return and growth cause at most 1.1 times the fewest moves", () => {
  fc.assert(fc.property(
    fc.integer({ min: 40, max: 600 }),
    fc.integer({ min: 2, max: 16 }),
    fc.array(fc.tuple(fc.boolean(), fc.nat(15)), { maxLength: 12 }),
    (shards, size, changes) => {
      const own = shardsOf(shards);
      let ids = idsOf(size);
      let owners = planShards({
        own,
        upstreams: upstreamsOf(ids),
        owners: own.map(() => undefined),
      });
      for (const [grow, index] of changes) {
        const id = `u${index}`;
        ids = grow ? [...new Set([...ids, id])] : ids.filter((u) => u !== id);
        if (ids.length === 0) ids = [id];
        const next = planShards({ own, upstreams: upstreamsOf(ids), owners });
        assert.ok(countMoves(owners, next) <= 1.1 * minMoves(owners, ids));
        const maxCount = Math.max(...countsOf(next).values());
        const mean = shards / ids.length;
        assert.ok(maxCount <= Math.max(Math.ceil(mean), 1.05 * mean));
        owners = next;
      }
    },
  ));
});

const cases: {
  name: string;
  upstreams: Upstreams;
  owners: Owners;
  own?: number[];
  counts: Record<string, number>;
}[] = [
  {
    name: "a slow upstream keeps its share by weight",
    upstreams: [
      { id: "a", weight: 0.2, state: "in" },
      { id: "b", weight: 1, state: "in" },
      { id: "c", weight: 1, state: "in" },
    ],
    owners: ownersOf("aaaabbbbccccaaaabbbbcc"),
    counts: { a: 2, b: 10, c: 10 },
  },
  {
    name: "an upstream that is warming up gets no more shards than its cap",
    upstreams: [
      { id: "a", weight: 1, state: "in" },
      { id: "b", weight: 1, state: "in", cap: 2 },
    ],
    owners: ownersOf("aaaaaaaa"),
    counts: { a: 6, b: 2 },
  },
  {
    name: "all shards are assigned when every upstream is capped",
    upstreams: [
      { id: "a", weight: 1, state: "in", cap: 0 },
      { id: "b", weight: 1, state: "in", cap: 1 },
    ],
    owners: new Array<undefined>(8).fill(undefined),
    counts: { a: 4, b: 4 },
  },
  {
    name: "an upstream that is out owns no shards",
    upstreams: [
      { id: "a", weight: 1, state: "in" },
      { id: "b", weight: 1, state: "out" },
    ],
    owners: ownersOf("abab"),
    counts: { a: 4 },
  },
  {
    name: "shards have no owner if no upstream is in",
    upstreams: [{ id: "a", weight: 1, state: "out" }],
    owners: ownersOf("aa"),
    counts: {},
  },
  {
    name: "shards of other regions are not assigned",
    upstreams: [{ id: "a", weight: 1, state: "in" }],
    owners: [undefined, "b", undefined, "a"],
    own: [0, 2],
    counts: { a: 2 },
  },
];

for (const { name, upstreams, owners, own, counts } of cases) {
  test(`shards: ${name}`, () => {
    const next = planShards({
      own: own ?? shardsOf(owners.length),
      upstreams,
      owners,
    });
    assert.deepEqual(Object.fromEntries([...countsOf(next)].sort()), counts);
  });
}

test("raising a cap in steps moves no shard twice", () => {
  const own = shardsOf(120);
  let owners = planShards({
    own,
    upstreams: upstreamsOf(["a", "b"]),
    owners: own.map(() => undefined),
  });
  const first = owners;
  let moved = 0;
  for (const cap of [1, 2, 4, 8, 16, 32, undefined]) {
    const upstreams = [
      ...upstreamsOf(["a", "b"]),
      { id: "c", weight: 1, state: "in" as const, cap },
    ];
    const next = planShards({ own, upstreams, owners });
    moved += countMoves(owners, next);
    owners = next;
  }
  assert.equal(moved, countMoves(first, owners));
  assert.equal(countsOf(owners).get("c"), 40);
});
