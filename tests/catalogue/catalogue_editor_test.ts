import assert from "node:assert/strict";
import { test } from "node:test";
import type { AuditRow } from "../../src/admin/audit_row.ts";
import { CatalogueEditor } from "../../src/catalogue/catalogue_editor.ts";
import { CatalogueRow } from "../../src/catalogue/catalogue_row.ts";
import { parseCatalogue } from "../../src/catalogue/parse_catalogue.ts";
import { CATALOGUE_TEXT } from "../support/catalogue_text.ts";
import { FakeTableService } from "../support/fake_table_service.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { silentLogger } from "../support/silent_logger.ts";

const document = parseCatalogue("a.yaml", CATALOGUE_TEXT)._unsafeUnwrap();

function setUp() {
  const table = new FakeTableService();
  const clock = new ManualClock();
  const editor = new CatalogueEditor({
    table,
    clock,
    logger: silentLogger(),
    vm: "entry-1",
  });
  const apply = async (author: string, expectedVersion: number) => {
    const pending = editor.apply({
      document,
      expectedVersion,
      author,
      action: "catalogue.apply",
      details: {},
    }, new AbortController().signal);
    await clock.advance(20_000);
    return await pending;
  };
  const audit = () =>
    table.values("audit/").map(([, value]) => value as AuditRow);
  const current = () =>
    CatalogueRow.parse(table.values("catalogue/current")[0]?.[1]);
  return { table, clock, apply, audit, current };
}

test("current, history and audit rows are written together", async () => {
  const { table, apply, audit, current } = setUp();
  assert.equal((await apply("ana", 0))._unsafeUnwrap().version, 1);
  assert.equal((await apply("ben", 1))._unsafeUnwrap().version, 2);
  assert.equal(current().author, "ben");
  assert.deepEqual(
    table.values("catalogue/history/").map(([key]) => key),
    ["catalogue/history/0000000001", "catalogue/history/0000000002"],
  );
  assert.deepEqual(
    audit().map((row) => [row.actor, row.toVersion, row.outcome]),
    [["ana", 1, "committed"], ["ben", 2, "committed"]],
  );
  assert.equal(table.transactions, 2);
});

test("a concurrent change is refused, names the winner and keeps its change", async () => {
  const { apply, audit, current } = setUp();
  await apply("ana", 0);
  const [ben, eva] = await Promise.all([apply("ben", 1), apply("eva", 1)]);
  assert.equal(ben._unsafeUnwrap().version, 2);
  const error = eva._unsafeUnwrapErr();
  assert.ok(error.kind === "conflict");
  assert.deepEqual([error.version, error.author], [2, "ben"]);
  assert.equal(current().author, "ben");
  assert.deepEqual(audit().map((row) => row.outcome).sort(), [
    "committed",
    "committed",
    "conflict",
  ]);
});

test("a change between reading and writing is not overwritten", async () => {
  const { table, apply, current } = setUp();
  await apply("ana", 0);
  table.beforeTransact = () => {
    const row = { ...current(), version: 2, author: "ben", writeId: "b" };
    table.put("catalogue/current", row);
    table.put("catalogue/history/0000000002", row);
  };
  const error = (await apply("eva", 1))._unsafeUnwrapErr();
  assert.ok(error.kind === "conflict");
  assert.deepEqual([error.version, error.author], [2, "ben"]);
  assert.equal(current().author, "ben");
});

test("a write that took effect succeeds when its answer is lost", async () => {
  const { table, apply, audit } = setUp();
  table.failTransactions("lost_answer");
  assert.equal((await apply("ana", 0))._unsafeUnwrap().version, 1);
  assert.equal(audit().length, 1);
});

test("a write with a lost answer succeeds when another change followed", async () => {
  const { table, apply, current } = setUp();
  table.failTransactions("lost_answer");
  table.beforeTransact = () => {
    table.failReads("unavailable");
    setImmediate(() => {
      const row = { ...current(), version: 2, author: "eva", writeId: "e" };
      table.put("catalogue/current", row);
      table.put("catalogue/history/0000000002", row);
    });
  };
  assert.equal((await apply("ana", 0))._unsafeUnwrap().version, 1);
  assert.equal(current().author, "eva");
});

test("a lost request is sent again and takes effect once", async () => {
  const { table, apply, audit } = setUp();
  table.failTransactions("lost_request", "silent");
  assert.equal((await apply("ana", 0))._unsafeUnwrap().version, 1);
  assert.equal(audit().length, 1);
  assert.equal(table.transactions, 3);
});

test("a lost answer, then an outage, is reported as an unknown outcome", async () => {
  const { table, apply, current } = setUp();
  table.failTransactions("lost_answer", "unavailable");
  table.failReads();
  table.beforeTransact = () => {
    table.failReads(...Array<"unavailable">(100).fill("unavailable"));
  };
  const error = (await apply("ana", 0))._unsafeUnwrapErr();
  assert.deepEqual([error.kind, current().version], ["unknown", 1]);
});

test("an unavailable store is reported as such; nothing is changed", async () => {
  const { table, apply } = setUp();
  table.failTransactions("unavailable");
  assert.equal((await apply("ana", 0))._unsafeUnwrapErr().kind, "unavailable");
  table.down = true;
  assert.equal((await apply("ana", 0))._unsafeUnwrapErr().kind, "unavailable");
  assert.deepEqual(table.values(""), []);
});

test("an invalid document is refused and audited", async () => {
  const { table, clock, audit } = setUp();
  const editor = new CatalogueEditor({
    table,
    clock,
    logger: silentLogger(),
    vm: "entry-1",
  });
  const result = await editor.apply({
    document: { ...document, services: {} },
    expectedVersion: 0,
    author: "ana",
    action: "catalogue.apply",
    details: {},
  }, new AbortController().signal);
  assert.equal(result._unsafeUnwrapErr().kind, "invalid");
  assert.deepEqual(audit().map((row) => row.outcome), ["refused"]);
});

for (const schema of [0, 2]) {
  test(`a row of schema ${schema} is not overwritten`, async () => {
    const { table, apply } = setUp();
    const row = { schema, version: 4, document: {} };
    table.put("catalogue/current", row);
    const error = (await apply("ana", 4))._unsafeUnwrapErr();
    assert.equal(error.kind, "unreadable");
    assert.deepEqual(table.values("catalogue/current")[0]?.[1], row);
  });
}

test("a change keeps the fields that a newer router wrote", async () => {
  const { table, apply, current } = setUp();
  await apply("ana", 0);
  const newer = structuredClone(current()) as unknown as {
    note: string;
    document: {
      tiers: string[];
      services: { search: { weight: number } };
    };
  };
  newer.note = "kept";
  newer.document.tiers = ["gold"];
  newer.document.services.search.weight = 3;
  table.put("catalogue/current", newer);

  const read = current();
  assert.equal(read.note, "kept");
  const stored = read.document as unknown as typeof newer.document;
  assert.deepEqual(stored.tiers, ["gold"]);
  assert.equal(stored.services.search.weight, 3);
  await apply("ben", 1);
  assert.equal(current().note, "kept");
});

test("no version is reused after the current row was deleted", async () => {
  const { table, apply } = setUp();
  await apply("ana", 0);
  table.put("catalogue/current", null);
  const error = (await apply("ben", 0))._unsafeUnwrapErr();
  assert.ok(error.kind === "conflict");
  assert.deepEqual([error.version, error.author], [1, "ana"]);
});
