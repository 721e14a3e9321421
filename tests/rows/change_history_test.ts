import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ChangeHistory } from "../../src/rows/change_history.ts";
import type { RowChange } from "../../src/rows/row_change.ts";

function change(version: number, key: string, removed: boolean): RowChange {
  return removed ? { kind: "removed", key, version } : {
    kind: "written",
    row: { table: "t", key, version, value: Buffer.from(`${version}`) },
  };
}

/** Applies the changes. Returns the resulting values of the rows, by key. */
function replay(
  before: ReadonlyMap<string, string>,
  changes: readonly RowChange[],
): Map<string, string> {
  const rows = new Map(before);
  for (const one of changes) {
    if (one.kind === "removed") rows.delete(one.key);
    else rows.set(one.row.key, Buffer.from(one.row.value).toString());
  }
  return rows;
}

test("the kept changes lead to the same rows as all changes", () => {
  // Guards against a VM that misses a change or receives one twice.
  const changes = fc.array(
    fc.record({
      key: fc.constantFrom("a", "b", "c", "d"),
      removed: fc.boolean(),
    }),
    { maxLength: 40 },
  );
  fc.assert(fc.property(changes, fc.nat({ max: 40 }), (drawn, cut) => {
    const all = drawn.map((one, index) =>
      change(index + 1, one.key, one.removed)
    );
    const history = new ChangeHistory();
    history.reset(0);
    history.add(all.slice(0, cut));
    history.add(all.slice(cut));
    const known = Math.min(cut, all.length);
    const before = replay(new Map(), all.slice(0, known));
    const kept = history.since(known);
    assert.ok(kept !== undefined);
    assert.deepEqual(
      [...replay(before, kept)].sort(),
      [...replay(new Map(), all)].sort(),
    );
  }));
});

for (
  const { name, keys, known, complete } of [
    {
      name: "before the last full read",
      keys: 3,
      known: 9,
      complete: false,
    },
    {
      name: "of the last full read",
      keys: 3,
      known: 10,
      complete: true,
    },
    {
      name: "before the last dropped change",
      keys: 1001,
      known: 10,
      complete: false,
    },
    {
      name: "of the last dropped change",
      keys: 1001,
      known: 11,
      complete: true,
    },
  ]
) {
  test(`changes since the version ${name} are ${complete ? "all kept" : "not all kept"}`, () => {
    const history = new ChangeHistory();
    history.reset(10);
    history.add(
      Array.from(
        { length: keys },
        (_, index) => change(11 + index, `key-${index}`, false),
      ),
    );
    assert.equal(history.since(known) !== undefined, complete);
  });
}
