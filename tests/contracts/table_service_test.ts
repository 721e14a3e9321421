import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { PlatformStandin } from "../../dev/standins/platform_standin.ts";
import { HttpTableService } from "../../src/contracts/http_table_service.ts";

const signal = new AbortController().signal;

describe("table service", () => {
  const platform = new PlatformStandin();
  let table: HttpTableService;

  before(async () => {
    table = new HttpTableService(await platform.start(), 300);
  });
  after(async () => {
    await table.close();
    await platform.stop();
  });

  function write(key: string, revision: number, value: unknown) {
    return table.transact({
      conditions: [{ key, revision }],
      writes: [{ key, value }],
    }, signal);
  }

  test("a write on an absent row commits, a second one conflicts", async () => {
    const first = (await write("a/1", 0, { n: 1 }))._unsafeUnwrap();
    const second = (await write("a/1", 0, { n: 2 }))._unsafeUnwrap();

    assert.equal(first.committed, true);
    assert.ok(!second.committed);
    assert.deepEqual(second.conflicts.map((row) => row.value), [{ n: 1 }]);
  });

  test("nothing is written when one of two conditions fails", async () => {
    const outcome = (await table.transact({
      conditions: [
        { key: "b/1", revision: 0 },
        { key: "b/2", revision: 99 },
      ],
      writes: [{ key: "b/1", value: 1 }, { key: "b/2", value: 1 }],
    }, signal))._unsafeUnwrap();
    const rows = (await table.readRows({ prefix: "b/", since: 0 }, signal))
      ._unsafeUnwrap();

    assert.equal(outcome.committed, false);
    assert.deepEqual(rows.rows, []);
  });

  test("a read returns only changed rows, including deleted ones", async () => {
    await write("c/1", 0, 1);
    await write("c/2", 0, 1);
    const known = (await table.readRows({ prefix: "c/", since: 0 }, signal))
      ._unsafeUnwrap();
    const revision = known.rows[0]!.revision;
    await write("c/1", revision, null);
    const changes = (await table.readRows({
      prefix: "c/",
      since: known.revision,
    }, signal))._unsafeUnwrap();

    assert.deepEqual(changes.rows.map(({ key, value }) => [key, value]), [
      ["c/1", null],
    ]);
    const again = (await write("c/1", 0, 2))._unsafeUnwrap();
    assert.equal(again.committed, true, "a deleted row counts as absent");
  });

  const faults = [
    {
      name: "outage",
      faults: { outage: true },
      kind: "unavailable",
      tookEffect: false,
    },
    {
      name: "no answer",
      faults: { hang: true },
      kind: "unknown",
      tookEffect: false,
    },
    {
      name: "answer later than the timeout",
      faults: { delayMs: 600 },
      kind: "unknown",
      tookEffect: true,
    },
    {
      name: "lost answer",
      faults: { loseAnswers: 1 },
      kind: "unknown",
      tookEffect: true,
    },
  ];
  for (const { name, faults: set, kind, tookEffect } of faults) {
    test(`${name}: the error shows whether the write may have been applied`, async () => {
      platform.setFaults(set);
      const result = await write(`d/${name}`, 0, 1);
      platform.setFaults({});

      assert.equal(result._unsafeUnwrapErr().kind, kind);
      // A delayed write takes effect after the call has timed out.
      for (let i = 0; tookEffect && i < 1000; i += 1) {
        const rows = platform.table.readRows({ prefix: `d/${name}`, since: 0 });
        if (rows.rows.length > 0) return;
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
      assert.equal(tookEffect, false, "the write never took effect");
    });
  }

  test("a refused connection is `unavailable`: nothing was applied", async () => {
    const stopped = new PlatformStandin();
    const closed = new HttpTableService(await stopped.start());
    await stopped.stop();
    const result = await closed.readRows({ prefix: "", since: 0 }, signal);
    assert.equal(result._unsafeUnwrapErr().kind, "unavailable");
  });
});
