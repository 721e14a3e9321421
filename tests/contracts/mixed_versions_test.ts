import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { z } from "zod";
import { AuditRow } from "../../src/admin/audit_row.ts";
import { CatalogueView } from "../../src/catalogue/catalogue_view.ts";
import { HopRequestHeader } from "../../src/links/hop_request_header.ts";
import { RenewParams } from "../../src/regions/renew_params.ts";
import { RenewResult } from "../../src/regions/renew_result.ts";
import { AssignmentView } from "../../src/shards/assignment_view.ts";
import { CatalogueStatus } from "../../src/vms/catalogue_status.ts";
import { CoordinatorView } from "../../src/vms/coordinator_view.ts";
import { MemberLeaving } from "../../src/vms/member_leaving.ts";
import { MemberView } from "../../src/vms/member_view.ts";
import { StorePoller } from "../../src/vms/store_poller.ts";
import { WitnessAnswer } from "../../src/vms/witness_answer.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { MemoryTableService } from "../support/memory_table_service.ts";
import { CoordinatorLeaseSimulation } from "../support/coordinator_lease_simulation.ts";
import { OwnershipSimulation } from "../support/ownership_simulation.ts";
import { silentLogger } from "../support/silent_logger.ts";

// Guards against a rolling upgrade in which one version stops, or drops what
// another one wrote, because it cannot read the rows or messages of the other.

// Rows and messages as the first version writes them. Fields added later are
// optional, so these stay readable; do not add fields here.
const ROWS = {
  "catalogue/current": {
    schema: 1,
    version: 1,
    author: "ana",
    at: "2026-01-01T00:00:00Z",
    writeId: "w",
    document: { schema: 1, services: {}, entries: {} },
  },
  "members/vm1": {
    schema: 1,
    vm: "vm1",
    incarnation: "a",
    region: "sierra",
    failureDomain: "d",
    peerUrl: "http://vm1",
    witnesses: [],
  },
  "coordinators/sierra": {
    schema: 1,
    region: "sierra",
    vm: "vm1",
    incarnation: "a",
    peerUrl: "http://vm1",
    epoch: 3,
    beat: 0,
    witnesses: [],
  },
  "assignments/sierra/usage": {
    schema: 1,
    service: "usage",
    region: "sierra",
    coordinatorEpoch: 3,
    writeId: "w",
    upstreams: [{ id: "u1", address: "10.0.0.1:80", failureDomain: "d" }],
    shards: [0],
    tenures: { u1: { vm: "vm1", epoch: 1 } },
    pins: {},
  },
};
type RowKey = keyof typeof ROWS;
const ROW_KEYS = Object.keys(ROWS) as RowKey[];

function startPoller() {
  const clock = new ManualClock();
  const store = new MemoryTableService(clock);
  const views = {
    catalogue: new CatalogueView(),
    members: new MemberView(),
    coordinators: new CoordinatorView(),
    assignments: new AssignmentView(),
  };
  const poller = new StorePoller({
    table: store.client("vm0"),
    clock,
    logger: silentLogger(),
    pollMs: 500,
    timeoutMs: 1500,
    views,
  });
  const end = new AbortController();
  const run = poller.run(end.signal);
  return {
    clock,
    put: (key: string, value: unknown) =>
      store.apply({ conditions: [], writes: [{ key, value }] }),
    /** The rows that the router has in force. */
    inForce: (): Record<RowKey, Record<string, unknown> | undefined> => ({
      "catalogue/current": views.catalogue.current,
      "members/vm1": views.members.get("vm1"),
      "coordinators/sierra": views.coordinators.get("sierra")?.row,
      "assignments/sierra/usage": views.assignments.get("sierra", "usage")?.row,
    }),
    stop: async () => {
      end.abort();
      await run;
    },
  };
}

describe("rows of another version", () => {
  test("a router reads rows of the first version", async () => {
    const { clock, put, inForce, stop } = startPoller();
    for (const key of ROW_KEYS) put(key, ROWS[key]);
    await clock.advance(10);
    for (const key of ROW_KEYS) assert.ok(inForce()[key], key);
    await stop();
  });

  for (const key of ROW_KEYS) {
    test(`a router neither refuses nor drops new fields of ${key}`, async () => {
      const { clock, put, inForce, stop } = startPoller();
      put(key, { ...ROWS[key], added: { by: "newer" } });
      await clock.advance(10);
      assert.deepEqual(inForce()[key]?.added, { by: "newer" });
      await stop();
    });

    test(`a newer schema of ${key} does not stop the router`, async () => {
      const { clock, put, inForce, stop } = startPoller();
      for (const each of ROW_KEYS) put(each, ROWS[each]);
      await clock.advance(10);
      put(key, { ...ROWS[key], schema: 2, added: true, version: 9 });
      const [other = key] = ROW_KEYS.filter((each) => each !== key);
      put(other, { ...ROWS[other], version: 2, added: true });
      await clock.advance(500);
      assert.ok(inForce()[key], "the older row stays in force");
      assert.equal(inForce()[key]?.added, undefined);
      assert.equal(inForce()[other]?.added, true, "other rows are followed");
      await stop();
    });
  }

  test("an audit row of a newer version is readable, so that it does not hide the page", () => {
    const row = {
      schema: 1,
      at: "2026-01-01T00:00:00Z",
      actor: "ana",
      action: "an.action.of.a.newer.version",
      vm: "vm1",
      fromVersion: 1,
      toVersion: 2,
      outcome: "committed",
      details: {},
      added: true,
    };
    assert.equal(AuditRow.parse(row).added, true);
  });

  test("a coordinator keeps fields that a newer one added", async () => {
    const region = new OwnershipSimulation(11);
    await region.advance(3500);
    const held = [...region.table.rows].find(([name]) =>
      name.startsWith("assignments/") && name.endsWith("/usage")
    );
    const before = region.assignmentRow("usage").coordinatorEpoch;
    Object.assign(held?.[1].value as object, { added: { by: "newer" } });
    // The next coordinator reads the row again and moves shards.
    const holder = [...region.routers.values()].find((router) =>
      router.lease.held() !== undefined
    );
    holder?.process.kill();
    region.setListedState("usage-0", "leaving");
    await region.advance(6000);
    const row: Record<string, unknown> & { coordinatorEpoch: number } = region
      .assignmentRow("usage");
    assert.ok(row.coordinatorEpoch > before, "the row was written again");
    assert.deepEqual(row.added, { by: "newer" });
  });

  test("a router does not take over a lease row of a newer schema", async () => {
    const simulation = new CoordinatorLeaseSimulation(3);
    await simulation.advance(4000);
    const [holder] = simulation.holders();
    assert.ok(holder);
    const index = simulation.routers.indexOf(holder);
    await simulation.run({ kind: "kill", router: index });
    simulation.store.apply({
      conditions: [],
      writes: [{
        key: "coordinators/sierra",
        value: { schema: 2, region: "sierra" },
      }],
    });
    await simulation.advance(5000);
    assert.deepEqual(simulation.holders(), []);
    simulation.end();
  });
});

describe("messages of a newer router", () => {
  const unit = { service: "usage", upstream: "u1" };
  const cases: { name: string; schema: z.ZodType; message: object }[] = [
    {
      name: "dispatch.renew parameters",
      schema: RenewParams,
      message: {
        vm: "vm1",
        incarnation: "a",
        failureDomain: "d",
        seq: 1,
        answeredSeq: 0,
        coordinatorEpoch: 0,
        rows: {},
        leaving: false,
        tenures: [{ ...unit, epoch: 1, added: 1 }],
        released: [{ ...unit, unit: "shard:1", readyInMs: 0, added: 1 }],
        ended: [{ ...unit, epoch: 1, added: 1 }],
        upstreams: [{
          ...unit,
          state: "warm",
          inFlight: 0,
          queued: 0,
          serviceMs: 1,
          ratePerS: 1,
          added: 1,
        }],
        hotKeys: [{
          ...unit,
          digest: "0000000000000000",
          ratePerS: 1,
          added: 1,
        }],
        limits: [{
          entry: "e",
          demandPerS: 1,
          demandConcurrency: 1,
          heldRatePerS: 1,
          heldConcurrency: 1,
          added: 1,
        }],
      },
    },
    {
      name: "dispatch.renew answer",
      schema: RenewResult,
      message: {
        kind: "granted",
        coordinatorEpoch: 1,
        ttlMs: 2000,
        tenures: [{ ...unit, address: "10.0.0.1:80", epoch: 1, added: 1 }],
        endTenures: [{ ...unit, added: 1 }],
        releases: [{ ...unit, units: ["shard:1"], added: 1 }],
        shares: [{ entry: "e", ratePerS: 1, concurrency: 1, added: 1 }],
        rows: [{
          revision: 1,
          row: { ...ROWS["assignments/sierra/usage"], added: 1 },
          added: 1,
        }],
      },
    },
    {
      name: "dispatch.renew refusal",
      schema: RenewResult,
      message: { kind: "not_coordinator" },
    },
    {
      name: "witness.ask promise",
      schema: WitnessAnswer,
      message: {
        kind: "unreachable",
        promiseMs: 1000,
        incarnation: "a",
        catalogueVersion: 1,
        coordinatorEpoch: 1,
        revisions: {},
      },
    },
    {
      name: "witness.ask refusal",
      schema: WitnessAnswer,
      message: {
        kind: "refused",
        incarnation: "a",
        catalogueVersion: 1,
        coordinatorEpoch: 1,
      },
    },
    {
      name: "catalogue.status answer",
      schema: CatalogueStatus,
      message: { vm: "vm1", incarnation: "a", version: 1, mode: "current" },
    },
    {
      name: "member.leaving parameters",
      schema: MemberLeaving,
      message: {
        vm: "vm1",
        incarnation: "a",
        catalogueVersion: 1,
        coordinatorEpoch: 1,
      },
    },
    {
      name: "headers of a peer hop",
      schema: HopRequestHeader,
      message: {
        "fescuerun-request-id": "r",
        "fescuerun-entry": "e",
        "fescuerun-service": "usage",
        "fescuerun-upstream": "u1",
        "fescuerun-row-revision": "1",
        "fescuerun-deadline-ms": "100",
      },
    },
  ];
  for (const { name, schema, message } of cases) {
    test(`an added field does not make ${name} unreadable`, () => {
      const read = schema.safeParse({ ...message, added: { by: "newer" } });
      assert.equal(read.error, undefined);
      for (const field of Object.keys(message)) {
        assert.ok(field in (read.data as object), field);
      }
    });
  }
});
