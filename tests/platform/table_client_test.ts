import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { TableClient } from "../../platform/table_client.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { RowStoreServer } from "../../platform/standins/row_store_server.ts";
import { MemoryRowStore } from "../../dev/standins/memory_row_store.ts";

const signal = new AbortController().signal;

function write(key: string, value: string, version?: number) {
  return {
    expect: version === undefined ? [] : [{ table: "t", key, version }],
    writes: [{ table: "t", key, value: Buffer.from(value) }],
    remove: [],
  };
}

describe("TableClient", () => {
  const memory = new MemoryRowStore(systemClock);
  const http = new RowStoreServer(memory);
  let client: TableClient;
  before(async () => {
    await http.listen();
    client = new TableClient({
      address: `127.0.0.1:${http.port}`,
      clock: systemClock,
    });
  });
  after(async () => {
    await client.close();
    http.close();
  });

  it("writes if the condition holds, and otherwise returns the conflicting row", async () => {
    const first = (await client.transact(write("a", "1", 0), signal))
      ._unsafeUnwrap();
    assert.equal(first.kind, "applied");
    const second = (await client.transact(write("a", "2", 0), signal))
      ._unsafeUnwrap();
    assert.ok(second.kind === "conflict");
    assert.equal(Buffer.from(second.rows[0]?.value ?? []).toString(), "1");
  });

  it("reads all pages of a table", async () => {
    for (let n = 0; n < 1200; n++) memory.put("big", `k${n}`, String(n));
    const read = (await client.readTable("big", signal))._unsafeUnwrap();
    assert.equal(read.rows.length, 1200);
    assert.equal(new Set(read.rows.map(({ key }) => key)).size, 1200);
  });

  it("receives written and removed rows from the feed", async () => {
    const { version } = (await client.readTable("t", signal))._unsafeUnwrap();
    memory.put("t", "b", "2");
    memory.drop("t", "b");
    const read = (await client.waitForChanges(
      { table: "t", after: version, waitMs: 1000 },
      signal,
    ))._unsafeUnwrap();
    assert.deepEqual(read.changes.map(({ kind }) => kind), [
      "written",
      "removed",
    ]);
    assert.ok(read.version > version);
  });

  // Guards against rows that count as older than they are once the store has been
  // running for longer than a duration may be.
  it("dates rows by the store's clock after more than a day", async () => {
    let storeNow = 5 * 24 * 3600 * 1000;
    const days = new MemoryRowStore({ ...systemClock, now: () => storeNow });
    const server = await new RowStoreServer(days).listen();
    // Times at which the calls are sent and their responses are read.
    const times = [1000, 1001, 1100, 1900];
    const late = new TableClient({
      address: `127.0.0.1:${server.port}`,
      clock: { ...systemClock, now: () => times.shift() ?? Number.NaN },
    });
    const first = (await late.readTable("t", signal))._unsafeUnwrap();
    storeNow += 700;
    const second = (await late.readTable("t", signal))._unsafeUnwrap();
    await late.close();
    server.close();
    assert.deepEqual([first.asOf, second.asOf], [1000, 1700]);
  });

  it("reports history_lost when the store no longer keeps the changes", async () => {
    memory.forgotten = 1e9;
    const read = await client.waitForChanges(
      { table: "t", after: 1, waitMs: 1000 },
      signal,
    );
    memory.forgotten = 0;
    assert.equal(read._unsafeUnwrapErr().kind, "history_lost");
  });

  // The store's fault, the kind of error, and whether the call was applied.
  const faults = [
    ["busy", "unavailable", false],
    ["many", "unavailable", false],
    ["reset", "unknown", false],
    ["silent", "unknown", false],
    ["lost", "unknown", true],
    ["rubbish", "unknown", false],
  ] as const;
  for (const [fault, kind, applied] of faults) {
    it(`reports ${kind} when the store's fault is ${fault}`, async () => {
      http.fault = fault;
      const outcome = await client.transact(write(fault, "1"), signal);
      http.fault = "none";
      assert.equal(outcome._unsafeUnwrapErr().kind, kind);
      const read = (await client.readTable("t", signal))._unsafeUnwrap();
      assert.equal(read.rows.some(({ key }) => key === fault), applied);
    });
  }

  it("reports the era of the store, and era 0 without the header", async () => {
    http.sendsEra = false;
    const read = (await client.readTable("t", signal))._unsafeUnwrap();
    http.sendsEra = true;
    assert.equal(read.era, 0);
  });

  // Guards against a response that a restore has overtaken, e.g. on another
  // connection: what it says is lost.
  it("drops responses of an earlier era, and reports the change once", async () => {
    const store = new MemoryRowStore(systemClock);
    const server = await new RowStoreServer(store).listen();
    const changes: { before: number; era: number }[] = [];
    const own = new TableClient({
      address: `127.0.0.1:${server.port}`,
      clock: systemClock,
      onEraChanged: (change) => changes.push(change),
    });
    store.put("t", "a", "1");
    const copy = store.copy();
    const first = (await own.readTable("t", signal))._unsafeUnwrap();
    store.put("t", "a", "lost");
    await server.restore(copy, Promise.resolve());
    const second = (await own.readTable("t", signal))._unsafeUnwrap();
    assert.deepEqual([first.era, second.era], [0, 1]);
    assert.equal(Buffer.from(second.rows[0]?.value ?? []).toString(), "1");
    const ahead = await own.waitForChanges(
      { table: "t", after: 2, waitMs: 0 },
      signal,
    );
    assert.equal(ahead._unsafeUnwrapErr().kind, "history_lost");
    store.era = 0;
    const late = await own.transact(write("b", "1"), signal);
    assert.equal(late._unsafeUnwrapErr().kind, "unknown");
    assert.deepEqual(changes, [{ before: 0, era: 1 }]);
    await own.close();
    server.close();
  });

  // Guards against a table that is put together from pages of two eras.
  it("fails a read during which the store is restored", async () => {
    const store = new MemoryRowStore(systemClock);
    const server = await new RowStoreServer(store).listen();
    const own = new TableClient({
      address: `127.0.0.1:${server.port}`,
      clock: systemClock,
    });
    for (let n = 0; n < 600; n++) store.put("big", `k${n}`, "");
    const copy = store.copy();
    const readTable = store.readTable.bind(store);
    let pages = 0;
    store.readTable = (...args) => {
      if (++pages === 2) store.restore(copy);
      return readTable(...args);
    };
    const read = await own.readTable("big", signal);
    assert.equal(read._unsafeUnwrapErr().kind, "unknown");
    await own.close();
    server.close();
  });
});
