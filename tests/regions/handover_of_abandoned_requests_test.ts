import assert from "node:assert/strict";
import { test } from "node:test";
import { CatalogueDocument } from "../../src/catalogue/catalogue_document.ts";
import { CoordinatorTerm } from "../../src/regions/coordinator_term.ts";
import { DispatchSetup } from "../support/dispatch_setup.ts";
import { regionReport } from "../support/region_report.ts";

const TTL_MS = 2000;
const MAX_RUN_MS = 2000;
/** Requests and grants of former coordinators have ended by then. */
const QUIET_AT_MS = 5000;
const COORDINATOR_EPOCH = 1;

const catalogue = CatalogueDocument.parse({
  schema: 1,
  services: {
    records: { shards: 4, slots: 2, connections: 10, maxRunMs: MAX_RUN_MS },
  },
  entries: {
    records: {
      owner: "owner",
      class: "interactive",
      service: "records",
      match: { pathPrefix: "/" },
      keySource: { kind: "path", segment: 0 },
      homeRegions: ["sierra"],
      idempotent: true,
      checksGrants: false,
      limits: { ratePerS: 1, concurrency: 1 },
    },
  },
});

/**
 * Starts a coordinator, and router `x`, which dispatches for upstream `a`. The
 * service's upstreams do not check grants.
 */
async function startRegion(t: Parameters<typeof DispatchSetup.start>[0]) {
  const setup = await DispatchSetup.start(t);
  await setup.clock.advance(QUIET_AT_MS);
  const held = setup.assignments.get("sierra", "records")!;
  const row = {
    ...held.row,
    tenures: { ...held.row.tenures, b: { vm: "y", epoch: 4 } },
  };
  const term = new CoordinatorTerm({
    region: "sierra",
    lease: { epoch: COORDINATOR_EPOCH, acquiredAt: 0 },
    dispatchTtlMs: TTL_MS,
    rows: [{ revision: held.revision, row }],
    catalogue,
  });
  let seq = 0;
  const renew = (
    vm: string,
    changes: Parameters<typeof regionReport>[1],
  ) => {
    const now = setup.clock.now();
    const report = regionReport(vm, {
      seq: ++seq,
      coordinatorEpoch: COORDINATOR_EPOCH,
      rows: { records: held.revision },
      ...changes,
    });
    return term.answer(term.accept(report, now), new Map(), now);
  };
  const plan = (leaving: string[] = []) =>
    term.plan({
      now: setup.clock.now(),
      catalogue,
      vms: row.upstreams.map((upstream) => ({
        ...upstream,
        kind: "upstream" as const,
        service: "records",
        region: "sierra",
        state: leaving.includes(upstream.id) ? "leaving" : "live",
      })),
      otherRegionRows: [],
      newWriteId: () => "w",
    });
  const renewY = () =>
    renew("y", { tenures: [{ service: "records", upstream: "b", epoch: 4 }] });
  return { setup, renew, renewY, plan };
}

// Guards against two upstreams that run requests for one key: a dispatcher
// whose caller has gone hands its upstream over with no request in flight, but
// the upstream runs the abandoned request until its deadline.
for (const reportsReadyIn of [true, false]) {
  test(
    `shards leave an upstream only after requests that its last dispatcher abandoned, router of ${
      reportsReadyIn ? "this" : "an earlier"
    } version`,
    async (t) => {
      const { setup, renew, renewY, plan } = await startRegion(t);
      renewY();
      renew("x", setup.pool.collectReport());
      assert.deepEqual(plan(), []);

      setup.upstream.steps = [{ kind: "silent" }];
      const caller = new AbortController();
      const answer = setup.outcome({}, caller.signal);
      await setup.upstream.waitForRequests(1);
      const runEndsAt = setup.clock.now() + MAX_RUN_MS;
      caller.abort();
      await answer;
      await setup.clock.advance(100);

      // Router `x` stops.
      renew("x", { ...setup.pool.collectReport(), leaving: true });
      plan();
      const grant = renew("x", {
        ...setup.pool.collectReport(),
        leaving: true,
      });
      assert.equal(grant.endTenures.length, 1);
      setup.applyGrant(grant);
      const report = setup.pool.collectReport();
      const endedAt = setup.clock.now();
      assert.equal(report.ended.length, 1);
      const ended = report.ended.map(({ readyInMs, ...term }) =>
        reportsReadyIn ? { ...term, readyInMs } : term
      );
      renew("x", { ...report, ended, leaving: true });

      // Upstream `a` leaves as well, so that its shards move to `b`.
      const movedAt = async () => {
        for (;;) {
          renewY();
          const moved = plan(["a"]).some(({ row }) => row.shards[0] !== 0);
          if (moved) return setup.clock.now();
          await setup.clock.advance(10);
        }
      };
      const at = await movedAt();
      assert.ok(
        at >= runEndsAt,
        `moved ${runEndsAt - at} ms before the deadline`,
      );
      // A router of an earlier version does not report how long they may run.
      assert.ok(at <= (reportsReadyIn ? runEndsAt : endedAt + MAX_RUN_MS) + 20);
    },
  );
}
