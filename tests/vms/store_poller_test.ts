import assert from "node:assert/strict";
import { test } from "node:test";
import { CatalogueView } from "../../src/catalogue/catalogue_view.ts";
import { AssignmentView } from "../../src/shards/assignment_view.ts";
import { CoordinatorView } from "../../src/vms/coordinator_view.ts";
import { MemberView } from "../../src/vms/member_view.ts";
import { StorePoller } from "../../src/vms/store_poller.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { MemoryTableService } from "../support/memory_table_service.ts";
import type { Logger } from "../../src/base/logger.ts";
import { silentLogger } from "../support/silent_logger.ts";

function start() {
  const clock = new ManualClock();
  const store = new MemoryTableService(clock);
  const views = {
    catalogue: new CatalogueView(),
    members: new MemberView(),
    coordinators: new CoordinatorView(),
    assignments: new AssignmentView(),
  };
  const warnings: unknown[] = [];
  const poller = new StorePoller({
    table: store.client("vm0"),
    clock,
    logger: {
      ...silentLogger(),
      warn: (fields: unknown) => warnings.push(fields),
    } as unknown as Logger,
    pollMs: 500,
    timeoutMs: 1500,
    views,
  });
  const end = new AbortController();
  const run = poller.run(end.signal);
  const put = (key: string, value: unknown) =>
    store.apply({ conditions: [], writes: [{ key, value }] });
  return { clock, store, views, warnings, poller, end, run, put };
}

const catalogue = (version: number, schema = 1) => ({
  schema,
  version,
  author: "ana",
  at: "2026-01-01T00:00:00Z",
  writeId: "w",
  document: { schema: 1, services: {}, entries: {} },
});
const member = {
  schema: 1,
  vm: "vm1",
  incarnation: "a",
  region: "sierra",
  failureDomain: "d",
  peerUrl: "http://vm1",
  witnesses: [],
};
const coordinator = {
  schema: 1,
  region: "sierra",
  vm: "vm1",
  incarnation: "a",
  peerUrl: "http://vm1",
  epoch: 3,
  beat: 0,
  witnesses: [],
};

test("each kind of row reaches its view in first and later polls", async () => {
  const { clock, views, put, end, run, store } = start();
  put("catalogue/current", catalogue(1));
  put("catalogue/history/1", catalogue(1));
  put("members/vm1", member);
  await clock.advance(10);
  assert.equal(views.catalogue.version, 1);
  assert.equal(views.members.get("vm1")?.incarnation, "a");
  put("coordinators/sierra", coordinator);
  put("catalogue/current", catalogue(2));
  put("members/vm1", null);
  await clock.advance(510);
  assert.equal(views.coordinators.get("sierra")?.row.epoch, 3);
  assert.equal(views.catalogue.version, 2);
  assert.equal(views.members.get("vm1"), undefined);
  assert.ok(
    !store.reads.slice(0, 4).includes(""),
    "the first poll must not read history",
  );
  end.abort();
  await run;
});

const invalid: { name: string; key: string; value: unknown }[] = [
  {
    name: "a newer schema",
    key: "catalogue/current",
    value: catalogue(7, 2),
  },
  { name: "a value that is no object", key: "catalogue/current", value: 7 },
  {
    name: "a missing field",
    key: "members/vm1",
    value: { ...member, peerUrl: undefined },
  },
  {
    name: "a key of another VM",
    key: "members/vm2",
    value: member,
  },
  {
    name: "a key of another region",
    key: "coordinators/costa",
    value: coordinator,
  },
  { name: "a deleted assignment", key: "assignments/a/b", value: null },
];
for (const { name, key, value } of invalid) {
  test(`a row with ${name} is logged and does not stop the poll`, async () => {
    const { clock, views, warnings, poller, put, end, run } = start();
    put(key, value);
    await clock.advance(10);
    assert.equal(warnings.length, 1);
    assert.deepEqual([views.members.all(), views.catalogue.version], [[], 0]);
    put("coordinators/sierra", coordinator);
    await clock.advance(500);
    assert.equal(views.coordinators.get("sierra")?.row.epoch, 3);
    assert.equal(poller.lastSentAt, 500);
    end.abort();
    await run;
  });
}

test("each poll takes one read and counts as contact when sent", async () => {
  const { clock, store, poller, end, run } = start();
  await clock.advance(10_100);
  assert.equal(poller.readCount, 4 + 20);
  assert.equal(poller.lastSentAt, 10_000);
  store.down = true;
  await clock.advance(5000);
  assert.equal(
    poller.lastSentAt,
    10_000,
    "a failed poll must not count as contact",
  );
  assert.ok(
    poller.overdueAt < clock.now(),
    "a failed poll must make the store overdue immediately",
  );
  store.down = false;
  await clock.advance(1000);
  // If a slow store became overdue, routers would give promises as witnesses,
  // which would prevent takeovers. The first slow answer arrives 1.3 s after
  // the last fast one.
  store.delayMs = 400;
  for (let step = 0; step < 300; step++) {
    await clock.advance(10);
    assert.ok(clock.now() < poller.overdueAt || step < 130);
  }
  end.abort();
  await run;
});

test("an unanswered poll does not delay the next one", async () => {
  const { clock, store, poller, end, run } = start();
  await clock.advance(100);
  store.disconnectedVms.add("vm0");
  await clock.advance(500);
  store.disconnectedVms.delete("vm0");
  await clock.advance(500);
  assert.equal(poller.lastSentAt, 1000);
  end.abort();
  await run;
});

test("an older row that arrives late does not replace a newer one", async () => {
  const { clock, views, poller, put, end, run } = start();
  put("members/vm1", member);
  const newer = put("members/vm1", { ...member, incarnation: "b" });
  await clock.advance(10);
  assert.ok(newer.committed);
  poller.adopt({
    key: "members/vm1",
    revision: newer.revision - 1,
    value: member,
  });
  assert.equal(views.members.get("vm1")?.incarnation, "b");
  end.abort();
  await run;
});

test("pollNow starts a poll before the interval has passed", async () => {
  const { clock, views, poller, put, end, run } = start();
  await clock.advance(100);
  put("catalogue/current", catalogue(1));
  poller.pollNow();
  await clock.advance(5);
  assert.equal(views.catalogue.version, 1);
  end.abort();
  await run;
});
