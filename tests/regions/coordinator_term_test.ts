import assert from "node:assert/strict";
import { test } from "node:test";
import { CatalogueDocument } from "../../src/catalogue/catalogue_document.ts";
import { CoordinatorTerm } from "../../src/regions/coordinator_term.ts";
import { AssignmentRow } from "../../src/shards/assignment_row.ts";
import { regionReport } from "../support/region_report.ts";

const TTL_MS = 2000;
const MAX_RUN_MS = 700;

function catalogueOf(
  checksGrants: boolean,
  homeRegions = ["sierra"],
  maxRunMs = MAX_RUN_MS,
): CatalogueDocument {
  return CatalogueDocument.parse({
    schema: 1,
    services: {
      usage: { shards: 2, slots: 1, connections: 1, maxRunMs },
    },
    entries: {
      all: {
        owner: "owner",
        class: "batch",
        service: "usage",
        match: { pathPrefix: "/" },
        keySource: { kind: "header", name: "key" },
        homeRegions,
        idempotent: true,
        checksGrants,
        limits: { ratePerS: 100, concurrency: 10 },
      },
    },
  });
}

const vms = ["a", "b"].map((id) => ({
  id,
  kind: "upstream" as const,
  address: "10.0.0.1:80",
  service: "usage",
  region: "sierra",
  failureDomain: "east",
  state: "live" as const,
}));

function rowOf(changes: Partial<AssignmentRow>): AssignmentRow {
  return AssignmentRow.parse({
    schema: 1,
    service: "usage",
    region: "sierra",
    coordinatorEpoch: 1,
    writeId: "first",
    upstreams: vms.map(({ id, address, failureDomain }) => ({
      id,
      address,
      failureDomain,
    })),
    shards: [0, 1],
    tenures: { a: { vm: "x", epoch: 3 }, b: { vm: "y", epoch: 4 } },
    pins: {},
    ...changes,
  });
}

type Run = {
  term: CoordinatorTerm;
  plan: (now: number, changes?: {
    leaving?: string[];
    maxRunMs?: number;
    otherRegionRows?: { revision: number; row: AssignmentRow }[];
  }) => ReturnType<CoordinatorTerm["plan"]>;
};

function startTerm(
  opts: { checksGrants: boolean; row?: AssignmentRow; homeRegions?: string[] },
): Run {
  const catalogue = catalogueOf(opts.checksGrants, opts.homeRegions);
  const term = new CoordinatorTerm({
    region: "sierra",
    lease: { epoch: 2, acquiredAt: 0 },
    dispatchTtlMs: TTL_MS,
    rows: opts.row === undefined ? [] : [{ revision: 9, row: opts.row }],
    catalogue,
  });
  let writes = 0;
  return {
    term,
    plan: (now, changes = {}) =>
      term.plan({
        now,
        catalogue: changes.maxRunMs === undefined
          ? catalogue
          : catalogueOf(opts.checksGrants, opts.homeRegions, changes.maxRunMs),
        vms: vms.map((vm) =>
          changes.leaving?.includes(vm.id) === true
            ? { ...vm, state: "leaving" as const }
            : vm
        ),
        otherRegionRows: changes.otherRegionRows ?? [],
        newWriteId: () => `w${++writes}`,
      }),
  };
}

const NO_LIMITS = new Map();
const dispatchTermOf = (upstream: string, epoch: number) => [
  { service: "usage", upstream, epoch },
];
const warmUpstream = (upstream: string) => [{
  service: "usage",
  upstream,
  state: "warm" as const,
  inFlight: 0,
  queued: 0,
  serviceMs: 1,
  ratePerS: 1,
}];

function answerReport(
  run: Run,
  vm: string,
  now: number,
  changes: Parameters<typeof regionReport>[1],
) {
  const session = run.term.accept(regionReport(vm, changes), now);
  return run.term.answer(session, NO_LIMITS, now);
}

// Guards against a new coordinator that reassigns upstreams to which a router
// may still dispatch: it has not reported yet, but its lease from the former
// coordinator may be in force.
for (const checksGrants of [true, false]) {
  const kind = checksGrants ? "checks grants" : "does not check grants";
  test(`takeover, service that ${kind}: a router that does not report keeps its dispatch term for one TTL`, () => {
    const run = startTerm({ checksGrants, row: rowOf({}) });
    answerReport(run, "y", 100, {
      tenures: dispatchTermOf("b", 4),
      upstreams: warmUpstream("b"),
    });
    assert.deepEqual(run.plan(TTL_MS - 1), []);
    const [write] = run.plan(TTL_MS);
    assert.equal(write?.row.tenures.a?.vm, "y");
    assert.ok(write.row.tenures.a.epoch > 9);
  });
}

test("a restarted router does not end the dispatch term of its former process", () => {
  const run = startTerm({ checksGrants: true, row: rowOf({}) });
  answerReport(run, "y", 100, { tenures: dispatchTermOf("b", 4) });
  answerReport(run, "x", 100, { incarnation: "restarted" });
  assert.deepEqual(run.plan(TTL_MS - 1), []);
});

test("shards of a lost dispatcher move only after its longest request", () => {
  const run = startTerm({ checksGrants: false, row: rowOf({}) });
  answerReport(run, "y", 1900, {
    tenures: dispatchTermOf("b", 4),
    upstreams: warmUpstream("b"),
  });
  // The upstream leaves together with its dispatcher.
  const leaving = ["a"];
  const at = TTL_MS + MAX_RUN_MS;
  assert.deepEqual(run.plan(at - 1, { leaving }), []);
  const [write] = run.plan(at, { leaving });
  assert.deepEqual(write?.row.shards, [1, 1]);
});

// Guards against two upstreams that run requests for one key: those of a lost
// dispatcher carry the longest run of the catalogue under which they were sent.
test("shards of a lost dispatcher move only after the longest request of the catalogue before", () => {
  const run = startTerm({ checksGrants: false, row: rowOf({}) });
  answerReport(run, "y", 1900, {
    tenures: dispatchTermOf("b", 4),
    upstreams: warmUpstream("b"),
  });
  const leaving = ["a"];
  const maxRunMs = 100;
  run.plan(TTL_MS - 10, { leaving, maxRunMs });
  const at = TTL_MS + MAX_RUN_MS - 10;
  assert.deepEqual(run.plan(at - 1, { leaving, maxRunMs }), []);
});

// Guards against a shard that moves because of a release that does not count,
// see ServiceState.accept.
const released = [
  { service: "usage", upstream: "a", unit: "shard:0", readyInMs: 0 },
];
const reports: {
  name: string;
  changes: Parameters<typeof regionReport>[1];
  moves: boolean;
}[] = [
  { name: "a release", changes: {}, moves: true },
  {
    name: "a release in a report made for a former coordinator",
    changes: { coordinatorEpoch: 1 },
    moves: false,
  },
  {
    name: "a release in a report made before the router had the current row",
    changes: { rows: { usage: 8 } },
    moves: false,
  },
  {
    name: "a release in a former dispatch term",
    changes: { tenures: dispatchTermOf("a", 2) },
    moves: false,
  },
  {
    name: "a release by another process of the VM",
    changes: { incarnation: "restarted" },
    moves: false,
  },
  {
    name: "a release in a report that arrives after a newer one",
    changes: { seq: 1 },
    moves: false,
  },
  {
    name: "a release at an upstream that may still hold a grant",
    changes: { released: released.map((r) => ({ ...r, readyInMs: 500 })) },
    moves: false,
  },
];
for (const { name, changes, moves } of reports) {
  test(`${name} ${moves ? "moves" : "does not move"} a shard`, () => {
    const run = startTerm({ checksGrants: true, row: rowOf({}) });
    const x = {
      tenures: dispatchTermOf("a", 3),
      upstreams: warmUpstream("a"),
      rows: { usage: 9 },
    };
    answerReport(run, "x", 2100, { ...x, seq: 2 });
    answerReport(run, "y", 2100, {
      tenures: dispatchTermOf("b", 4),
      upstreams: warmUpstream("b"),
    });
    const leaving = ["a"];
    assert.deepEqual(run.plan(2200, { leaving }), []);
    const grant = answerReport(run, "x", 2300, {
      ...x,
      seq: 3,
      coordinatorEpoch: 2,
    });
    assert.deepEqual(grant.releases, [
      { service: "usage", upstream: "a", units: ["shard:0"] },
    ]);
    answerReport(run, "x", 2400, {
      ...x,
      seq: 4,
      coordinatorEpoch: 2,
      released,
      ...changes,
    });
    const writes = run.plan(2401, { leaving });
    assert.equal(writes[0]?.row.shards[0], moves ? 1 : undefined);
  });
}

// Guards against a key that a dispatcher refuses for ever: the pin of the key
// has ended, the upstream also owns the key's shard, and the release never
// ends.
for (
  const { name, shards } of [
    { name: "owns the key's shard", shards: [0, 1] },
    { name: "does not own the key's shard", shards: [1, 0] },
  ]
) {
  test(`the release of a pin ends if the upstream ${name}`, () => {
    const digest = "0000000000000001";
    const run = startTerm({
      checksGrants: true,
      row: rowOf({ shards, pins: { [digest]: "a" } }),
    });
    let seq = 0;
    const reportAll = (now: number, changes: { revision: number }) => {
      seq += 1;
      const rows = { usage: changes.revision };
      const common = { seq, coordinatorEpoch: 2, rows };
      answerReport(run, "y", now, {
        ...common,
        tenures: dispatchTermOf("b", 4),
        upstreams: warmUpstream("b"),
      });
      return (released: { unit: string }[]) =>
        answerReport(run, "x", now, {
          ...common,
          tenures: dispatchTermOf("a", 3),
          upstreams: warmUpstream("a"),
          released: released.map(({ unit }) => ({
            service: "usage",
            upstream: "a",
            unit,
            readyInMs: 0,
          })),
        });
    };
    const unit = `pin:${digest}`;
    let now = TTL_MS + 100;
    let grant = reportAll(now, { revision: 9 })([]);
    while (grant.releases.length === 0 && now < 70_000) {
      run.plan(now);
      now += 1000;
      grant = reportAll(now, { revision: 9 })([]);
    }
    assert.deepEqual(grant.releases, [
      { service: "usage", upstream: "a", units: [unit] },
    ]);
    reportAll(now, { revision: 9 })([{ unit }]);
    const [write] = [...run.plan(now + 1), ...run.plan(now + 30)];
    assert.ok(write !== undefined);
    assert.deepEqual(write.row.pins, {});
    run.term.adopt({ revision: 10, row: write.row }, now + 31);
    run.term.onWriteSettled("usage", { gainsBlocked: false });
    reportAll(now + 40, { revision: 10 })([]);
    run.plan(now + 41);
    grant = reportAll(now + 50, { revision: 10 })([]);
    assert.deepEqual(grant.releases, []);
  });
}

// Guards against a dispatch term that is renewed although a write that replaces
// it may still take effect.
test("a dispatch term is not renewed once its replacement may have been written", () => {
  const run = startTerm({ checksGrants: true, row: rowOf({}) });
  answerReport(run, "y", 100, { tenures: dispatchTermOf("b", 4) });
  assert.equal(run.plan(TTL_MS).length, 1);
  run.term.onWriteSettled("usage", { gainsBlocked: false });
  const late = answerReport(run, "x", TTL_MS + 50, {
    tenures: dispatchTermOf("a", 3),
  });
  assert.deepEqual(late.tenures, []);
});

// Guards against two regions that own a shard after an operator has changed
// the home regions.
test("a shard that another region still owns is not assigned", () => {
  const homeRegions = ["sierra", "costa"];
  const run = startTerm({ checksGrants: true, homeRegions });
  answerReport(run, "x", 100, {});
  const elsewhere = rowOf({ region: "costa", shards: [0, 1] });
  const [first] = run.plan(700, {
    otherRegionRows: [{ revision: 5, row: elsewhere }],
  });
  assert.deepEqual(first?.row.shards, [-1, -1]);
  run.term.adopt({ revision: 10, row: first.row }, 700);
  run.term.onWriteSettled("usage", { gainsBlocked: false });
  const given = rowOf({ region: "costa", shards: [-1, 1] });
  const [second] = run.plan(800, {
    otherRegionRows: [{ revision: 6, row: given }],
  });
  assert.equal(second?.row.shards[1], -1);
  assert.notEqual(second.row.shards[0], -1);
  assert.deepEqual(second.transaction.conditions.slice(1), [
    { key: "assignments/costa/usage", revision: 6 },
  ]);
});
