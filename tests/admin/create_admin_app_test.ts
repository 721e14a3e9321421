import assert from "node:assert/strict";
import { test } from "node:test";
import type { AuditRow } from "../../src/admin/audit_row.ts";
import { keyDigest } from "../../src/base/key_digest.ts";
import type { CatalogueDocument } from "../../src/catalogue/catalogue_document.ts";
import { parseCatalogue } from "../../src/catalogue/parse_catalogue.ts";
import { shardOf } from "../../src/shards/shard_of.ts";
import { AdminBench } from "../support/admin_bench.ts";
import { CATALOGUE_TEXT } from "../support/catalogue_text.ts";

const document = parseCatalogue("a.yaml", CATALOGUE_TEXT)._unsafeUnwrap();

async function withCatalogue(): Promise<AdminBench> {
  const bench = new AdminBench();
  const { lines } = await apply(bench, 0);
  assert.equal(lines.at(-1)?.kind, "accepted");
  return bench;
}

function apply(bench: AdminBench, expectedVersion: number, owner = "acme") {
  const entry = { ...document.entries.search!, owner };
  return bench.send("PUT /v1/catalogue", {
    body: {
      expectedVersion,
      document: {
        ...document,
        entries: { ...document.entries, search: entry },
      },
    },
  });
}

function auditRows(bench: AdminBench): AuditRow[] {
  return bench.table.values("audit/").map(([, value]) => value as AuditRow);
}

function storedOut(bench: AdminBench): CatalogueDocument["out"] {
  const row = bench.table.values("catalogue/current")[0]?.[1];
  return (row as { document: CatalogueDocument }).document.out;
}

for (const credential of [null, "", "wrong", "ana-secret2"]) {
  test(`credential ${JSON.stringify(credential)} is refused and audited`, async () => {
    const bench = new AdminBench();
    for (const route of ["GET /v1/status", "PUT /v1/catalogue", "GET /x"]) {
      const { status, lines } = await bench.send(route, { credential });
      assert.equal(status, 401);
      assert.equal(lines[0]?.code, "unauthorized");
    }
    const rows = auditRows(bench);
    assert.equal(rows.length, 3);
    assert.deepEqual([rows[0]?.actor, rows[0]?.outcome], [
      "unknown",
      "refused",
    ]);
    const shown = JSON.stringify([rows, bench.logged]);
    assert.ok(credential === null || !shown.includes("secret"));
  });
}

test("guessed credentials cannot flood the table service with audit rows", async () => {
  const bench = new AdminBench();
  for (let count = 0; count < 100; count += 1) {
    await bench.app.request("/v1/status");
  }
  await bench.clock.advance(0);
  assert.equal(auditRows(bench).length, 5);
  await bench.clock.advance(10_000);
  await bench.send("GET /v1/status", { credential: "wrong" });
  assert.equal(auditRows(bench).at(-1)?.details.unrecorded, 95);
});

test("streams progress until every router has the change in force", async () => {
  const bench = await withCatalogue();
  bench.setVersion("entry-2", 1);
  const pending = apply(bench, 1, "other");
  void bench.clock.sleep(1000).then(() => bench.setVersion("entry-2", 2));
  const { status, lines } = await pending;
  assert.equal(status, 200);
  assert.deepEqual(lines.map(({ kind }) => kind), [
    "committed",
    "waiting",
    "accepted",
  ]);
  assert.deepEqual(lines[1]?.vms, ["entry-2"]);
  assert.equal(bench.catalogue.version, 2);
  const audit = auditRows(bench).at(-1)!;
  assert.deepEqual(
    [audit.actor, audit.fromVersion, audit.toVersion, audit.outcome],
    ["ana", 1, 2, "committed"],
  );
  assert.deepEqual(audit.details.changes, ["changed entries.search.owner"]);
});

test("a change is not yet in force while a router serves the old version", async () => {
  const bench = await withCatalogue();
  bench.setVersion("entry-2", 1);
  const { lines } = await apply(bench, 1, "other");
  const last = lines.at(-1)!;
  assert.deepEqual([last.kind, last.vms], [
    "committed_not_yet_in_force",
    ["entry-2"],
  ]);
});

const refusedApplies: {
  scenario: string;
  prepare?: (bench: AdminBench) => void;
  body: unknown;
  expected: [number, string];
}[] = [
  {
    scenario: "an expected version older than the current one",
    body: { expectedVersion: 0, document },
    expected: [409, "conflict"],
  },
  {
    scenario: "an invalid document",
    body: { expectedVersion: 1, document: { ...document, services: {} } },
    expected: [422, "invalid_catalogue"],
  },
  {
    scenario: "a newer document schema",
    body: { expectedVersion: 1, document: { ...document, schema: 2 } },
    expected: [422, "invalid_catalogue"],
  },
  {
    scenario: "a body that is not JSON",
    body: "a: b",
    expected: [400, "bad_request"],
  },
  {
    scenario: "a body without expected version",
    body: { document },
    expected: [400, "bad_request"],
  },
  {
    scenario: "a body over 1 MiB",
    body: "x".repeat(1024 * 1024 + 1),
    expected: [413, "body_too_large"],
  },
  {
    scenario: "a store outage",
    prepare: (bench) => bench.table.down = true,
    body: { expectedVersion: 1, document },
    expected: [503, "unavailable"],
  },
  {
    scenario: "a router in mode cut_off, although the store answers",
    prepare: (bench) => bench.mode = "cut_off",
    body: { expectedVersion: 1, document },
    expected: [503, "router_not_current"],
  },
  {
    scenario: "a stored record of a newer schema",
    prepare: (bench) =>
      bench.table.put("catalogue/current", { schema: 2, version: 1 }),
    body: { expectedVersion: 1, document },
    expected: [500, "unreadable_record"],
  },
  {
    scenario:
      "a store that loses every transaction, so that the outcome is unknown",
    prepare: (bench) => {
      bench.table.failTransactions(
        ...Array<"lost_request">(100).fill("lost_request"),
      );
    },
    body: { expectedVersion: 1, document },
    expected: [504, "outcome_unknown"],
  },
];

for (const { scenario, prepare, body, expected } of refusedApplies) {
  test(`apply is refused: ${scenario}`, async () => {
    const bench = await withCatalogue();
    prepare?.(bench);
    const { status, lines } = await bench.send("PUT /v1/catalogue", { body });
    assert.deepEqual([status, lines[0]?.code], expected);
  });
}

test("serves the router's own catalogue while the store is down", async () => {
  const bench = await withCatalogue();
  const stored = await bench.send("GET /v1/catalogue");
  bench.table.down = true;
  const known = await bench.send("GET /v1/catalogue");
  assert.equal(stored.lines[0]?.source, "store");
  assert.equal(known.lines[0]?.source, "router");
  assert.deepEqual(known.lines[0].document, stored.lines[0].document);
});

test("history pages span blocks of versions without gaps, newest first", async () => {
  const bench = await withCatalogue();
  for (let version = 1; version < 12; version += 1) {
    await apply(bench, version, `o${version}`);
  }
  const seen: number[] = [];
  let query = "limit=5";
  for (;;) {
    const { lines } = await bench.send(`GET /v1/catalogue/history?${query}`);
    const page = lines[0] as {
      versions: { version: number }[];
      next: number | null;
    };
    seen.push(...page.versions.map(({ version }) => version));
    if (page.next === null) break;
    query = `limit=5&before=${page.next}`;
  }
  assert.deepEqual(seen, [12, 11, 10, 9, 8, 7, 6, 5, 4, 3, 2, 1]);
  const stored = await bench.send("GET /v1/catalogue/history/3");
  assert.equal(stored.lines[0]?.version, 3);
  const none = await bench.send("GET /v1/catalogue/history/13");
  assert.equal(none.status, 404);
});

const outCases: {
  scenario: string;
  prepare?: (bench: AdminBench) => Promise<unknown> | undefined;
  route: string;
  force?: boolean;
  expected: [number, unknown];
  out?: CatalogueDocument["out"];
}[] = [
  {
    scenario: "one of two domains",
    route: "POST /v1/domains/sierra-a/out",
    expected: [200, "committed"],
    out: { failureDomains: ["sierra-a"], vms: [] },
  },
  {
    scenario: "the last domain of a region",
    route: "POST /v1/domains/costa-a/out",
    expected: [409, "last_domain_in_region"],
    out: { failureDomains: [], vms: [] },
  },
  {
    scenario: "the last domain of a region with force",
    route: "POST /v1/domains/costa-a/out",
    force: true,
    expected: [200, "committed"],
    out: { failureDomains: ["costa-a"], vms: [] },
  },
  {
    scenario: "the second of two domains after the first",
    prepare: (bench) => bench.send("POST /v1/domains/sierra-b/out"),
    route: "POST /v1/domains/sierra-a/out",
    expected: [409, "last_domain_in_region"],
  },
  {
    scenario: "a domain when all VMs of the other domain are leaving",
    prepare: (bench) => {
      for (const vm of bench.vms ?? []) {
        if (vm.failureDomain === "sierra-b") vm.state = "leaving";
      }
      return undefined;
    },
    route: "POST /v1/domains/sierra-a/out",
    expected: [409, "last_domain_in_region"],
  },
  {
    scenario: "the last domain with a registered router, without the VM list",
    prepare: (bench) => {
      bench.vms = undefined;
      bench.members.set("entry-1", undefined);
      return undefined;
    },
    route: "POST /v1/domains/sierra-a/out",
    expected: [409, "last_domain_in_region"],
  },
  {
    scenario: "a misspelt domain",
    route: "POST /v1/domains/siera-a/out",
    expected: [404, "unknown_name"],
  },
  {
    scenario: "a domain that is out already",
    prepare: (bench) => bench.send("POST /v1/domains/sierra-a/out"),
    route: "POST /v1/domains/sierra-a/out",
    expected: [200, "unchanged"],
    out: { failureDomains: ["sierra-a"], vms: [] },
  },
  {
    scenario: "a domain that is out",
    prepare: (bench) => bench.send("POST /v1/domains/sierra-a/out"),
    route: "POST /v1/domains/sierra-a/in",
    expected: [200, "committed"],
    out: { failureDomains: [], vms: [] },
  },
  {
    scenario: "an upstream VM",
    route: "POST /v1/vms/up-1/out",
    expected: [200, "committed"],
    out: { failureDomains: [], vms: ["up-1"] },
  },
  {
    scenario: "an unknown VM",
    route: "POST /v1/vms/up-9/out",
    expected: [404, "unknown_name"],
  },
  {
    scenario: "a name that no VM can have",
    route: "POST /v1/vms/UP%209/out",
    expected: [400, "bad_request"],
  },
  {
    scenario: "a VM while the store is down",
    prepare: (bench) => {
      bench.table.down = true;
      return undefined;
    },
    route: "POST /v1/vms/up-1/out",
    expected: [503, "unavailable"],
  },
];

for (const { scenario, prepare, route, force, expected, out } of outCases) {
  test(`${route.split("/").at(-1)}: ${scenario}`, async () => {
    const bench = await withCatalogue();
    await prepare?.(bench);
    const { status, lines } = await bench.send(
      route,
      force === undefined ? {} : { body: { force } },
    );
    assert.deepEqual([status, lines[0]?.code ?? lines[0]?.kind], expected);
    if (status === 200) assert.equal(lines.at(-1)?.kind, "accepted");
    if (out !== undefined) assert.deepEqual(storedOut(bench), out);
  });
}

test("refuses one of two operators who take out both domains of a region", async () => {
  const bench = await withCatalogue();
  const results = await Promise.all([
    bench.send("POST /v1/domains/sierra-a/out"),
    bench.send("POST /v1/domains/sierra-b/out", { credential: "ben-secret" }),
  ]);
  assert.deepEqual(results.map(({ status }) => status).sort(), [200, 409]);
  const refused = results.find(({ status }) => status === 409);
  assert.equal(refused?.lines[0]?.code, "last_domain_in_region");
  assert.equal(storedOut(bench).failureDomains.length, 1);
});

test("concurrent changes of different names are all committed", async () => {
  const bench = await withCatalogue();
  const results = await Promise.all(
    ["up-0", "up-1", "up-2"].map((vm) => bench.send(`POST /v1/vms/${vm}/out`)),
  );
  assert.deepEqual(results.map(({ status }) => status), [200, 200, 200]);
  assert.deepEqual(storedOut(bench).vms, ["up-0", "up-1", "up-2"]);
});

test("of concurrent changes of the same name, one is a conflict", async () => {
  const bench = await withCatalogue();
  const results = await Promise.all([
    bench.send("POST /v1/vms/up-0/out"),
    bench.send("POST /v1/vms/up-0/out", { credential: "ben-secret" }),
  ]);
  assert.deepEqual(results.map(({ status }) => status).sort(), [200, 409]);
  const refused = results.find(({ status }) => status === 409);
  assert.equal(refused?.lines[0]?.code, "conflict");
});

test("takes a domain out although the stored catalogue breaks a newer rule", async () => {
  const bench = await withCatalogue();
  const [, row] = bench.table.values("catalogue/current")[0]!;
  const broken = row as { document: CatalogueDocument };
  broken.document.entries.search!.service = "bookings";
  bench.table.put("catalogue/current", broken);
  const { status } = await bench.send("POST /v1/domains/sierra-a/out");
  assert.equal(status, 200);
});

test("lists VMs, domains and upstreams, and which of them are out", async () => {
  const bench = await withCatalogue();
  await bench.send("POST /v1/domains/sierra-a/out");
  bench.assignments.adopt(5, {
    schema: 1,
    service: "bookings",
    region: "sierra",
    coordinatorEpoch: 1,
    writeId: "w",
    upstreams: [
      { id: "up-0", address: "10.0.1.0:80", failureDomain: "sierra-a" },
      { id: "up-8", address: "10.0.1.8:80", failureDomain: "sierra-b" },
      { id: "up-9", address: "10.0.1.9:80", failureDomain: "sierra-b" },
    ],
    shards: [0, 1, 0, -1],
    tenures: { "up-0": { vm: "entry-0", epoch: 3 } },
    pins: {},
  });
  const vms = await bench.send("GET /v1/vms");
  const list = vms.lines[0]?.vms as Record<string, unknown>[];
  assert.deepEqual(
    list.map(({ id, state, member, domainOut }) => [
      id,
      state,
      member,
      domainOut,
    ]),
    [
      ["entry-0", "unlisted", true, true],
      ["entry-1", "unlisted", true, false],
      ["entry-2", "unlisted", true, false],
      ["up-0", "live", false, true],
      ["up-1", "live", false, false],
      ["up-2", "live", false, false],
    ],
  );
  const domains = await bench.send("GET /v1/domains");
  assert.deepEqual(
    (domains.lines[0]?.domains as Record<string, unknown>[])
      .map(({ name, out }) => [name, out]),
    [["costa-a", false], ["sierra-a", true], ["sierra-b", false]],
  );
  const upstreams = await bench.send("GET /v1/upstreams");
  assert.deepEqual(
    (upstreams.lines[0]?.upstreams as Record<string, unknown>[])
      .map(({ id, state, out, shards, dispatcher }) => [
        id,
        state,
        out,
        shards,
        dispatcher,
      ]),
    [
      ["up-2", "live", false, 0, null],
      ["up-0", "live", true, 2, "entry-0"],
      ["up-1", "live", false, 0, null],
      ["up-8", "unlisted", false, 1, null],
    ],
  );
});

test("shows the owner of a key, and never the key itself", async () => {
  const bench = await withCatalogue();
  // Any key whose shard belongs to the first home region.
  const key = ["k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"].find((text) =>
    shardOf(keyDigest("bookings", text), 512) % 2 === 0
  )!;
  const digest = keyDigest("bookings", key);
  const row = {
    schema: 1 as const,
    service: "bookings",
    region: "sierra",
    coordinatorEpoch: 1,
    writeId: "w",
    upstreams: [
      { id: "up-0", address: "10.0.1.0:80", failureDomain: "sierra-a" },
      { id: "up-1", address: "10.0.1.1:80", failureDomain: "sierra-b" },
    ],
    shards: Array<number>(512).fill(0),
    tenures: { "up-1": { vm: "entry-1", epoch: 4 } },
    pins: {},
  };
  const ask = () =>
    bench.send("POST /v1/assignment", { body: { service: "bookings", key } });
  const unknown = await ask();
  assert.deepEqual(
    [unknown.lines[0]?.region, unknown.lines[0]?.upstream],
    ["sierra", null],
  );
  bench.assignments.adopt(5, row);
  assert.equal((await ask()).lines[0]?.upstream, "up-0");
  bench.assignments.adopt(6, { ...row, pins: { [digest]: "up-1" } });
  const pinned = (await ask()).lines[0]!;
  assert.deepEqual(
    [pinned.pinned, pinned.upstream, pinned.dispatcher, pinned.epoch],
    [true, "up-1", "entry-1", 4],
  );
  assert.equal(pinned.digest, digest);

  const secret = "secret-key-of-a-caller";
  const answers = await Promise.all([
    { service: "bookings", key: secret },
    { service: "search", key: secret },
    { service: "constructor", key: secret },
    { service: 1, key: secret },
    { service: "bookings", key: secret.repeat(40) },
    `{"service": "bookings", "key": "${secret}`,
  ].map((body) => bench.send("POST /v1/assignment", { body })));
  assert.deepEqual(
    answers.map(({ status }) => status),
    [200, 404, 404, 400, 400, 400],
  );
  const shown = JSON.stringify([answers, bench.logged, auditRows(bench)]);
  assert.ok(!shown.includes(secret));
});

test("status shows the version of each router, also while the store is down", async () => {
  const bench = await withCatalogue();
  bench.table.put("coordinators/sierra", {
    schema: 1,
    region: "sierra",
    vm: "entry-1",
    incarnation: "1",
    peerUrl: "http://10.0.0.1:8081",
    epoch: 7,
    beat: 1,
    witnesses: [],
  });
  bench.setVersion("entry-1", 0);
  bench.peers.statuses.delete("http://10.0.0.2:8081");
  const up = (await bench.send("GET /v1/status")).lines[0]!;
  assert.deepEqual(up.coordinators, [
    { region: "sierra", vm: "entry-1", epoch: 7 },
  ]);
  assert.deepEqual(
    (up.members as Record<string, unknown>[])
      .map(({ vm, version }) => [vm, version]),
    [["entry-0", 1000], ["entry-1", 0], ["entry-2", null]],
  );
  bench.table.down = true;
  bench.mode = "outage";
  const down = (await bench.send("GET /v1/status")).lines[0]!;
  assert.deepEqual(
    [
      down.mode,
      down.catalogueVersion,
      down.committedVersion,
      down.coordinators,
    ],
    ["outage", 1, null, null],
  );
});

test("audit pages contain whole hours, newest first, and unknown schemas", async () => {
  const bench = await withCatalogue();
  for (
    const [key, value] of [
      ["audit/2025-12-31T22:10:00.000Z-a", { schema: 2 }],
      ["audit/2025-12-30T09:00:00.000Z-b", { schema: 1 }],
    ] as const
  ) {
    bench.table.put(key, value);
  }
  const first = (await bench.send("GET /v1/audit?hours=6")).lines[0]!;
  const rows = first.rows as { key: string; row: AuditRow | null }[];
  assert.deepEqual(
    rows.map(({ row }) => row?.action ?? null),
    ["catalogue.apply", null],
  );
  const next = (await bench.send(
    `GET /v1/audit?hours=168&before=${String(first.searchedBackTo)}`,
  )).lines[0]!;
  assert.equal((next.rows as unknown[]).length, 1);
  const bad = await bench.send("GET /v1/audit?before=yesterday");
  assert.equal(bad.status, 400);
});
