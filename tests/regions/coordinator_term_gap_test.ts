import assert from "node:assert/strict";
import { errAsync } from "neverthrow";
import { test } from "node:test";
import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import { CatalogueView } from "../../src/catalogue/catalogue_view.ts";
import { Coordinator } from "../../src/regions/coordinator.ts";
import { AssignmentView } from "../../src/shards/assignment_view.ts";
import { FakeTableService } from "../support/fake_table_service.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { silentLogger } from "../support/silent_logger.ts";

const RENEWAL = {
  vm: "vm1",
  incarnation: "a",
  failureDomain: "d",
  answeredSeq: 0,
  coordinatorEpoch: 1,
  rows: {},
  leaving: false,
  tenures: [],
  released: [],
  ended: [],
  upstreams: [],
  hotKeys: [],
  limits: [],
};

// Guards against a coordinator that renews no dispatch lease until the end of
// an outage: its own lease expired at the start of the outage, before its
// witnesses gave their promises.
test("a coordinator renews dispatch leases in an outage after a gap in its lease", async () => {
  const clock = new ManualClock();
  const table = new FakeTableService();
  const lease: { epoch: number; acquiredAt: number } = {
    epoch: 1,
    acquiredAt: 0,
  };
  let isHeld = true;
  let mode: "current" | "cut_off" | "outage" = "current";
  const changed = new ChangeNotifier();
  const catalogue = new CatalogueView();
  catalogue.adopt({
    schema: 1,
    version: 1,
    author: "ana",
    at: "",
    writeId: "w",
    document: {
      schema: 1,
      services: {},
      entries: {},
      out: { failureDomains: [], vms: [] },
    },
  });
  const coordinator = new Coordinator({
    region: "sierra",
    clock,
    logger: silentLogger(),
    lease: {
      held: () => isHeld ? lease : undefined,
      changed,
      writeFenced: () => errAsync({ kind: "unavailable", message: "down" }),
    },
    contact: { mode: () => mode, changed },
    table,
    catalogue,
    listedVms: { vms: [], changed },
    assignments: new AssignmentView(),
    renewHoldMs: 300,
    dispatchTtlMs: 2000,
  });
  const end = new AbortController();
  const run = coordinator.run(end.signal);
  const renew = async (seq: number) => {
    const answer = coordinator.renewal.handle(
      { ...RENEWAL, seq },
      end.signal,
    ) as Promise<{ kind: string }>;
    await clock.advance(400);
    return (await answer).kind;
  };
  await clock.advance(100);
  assert.equal(await renew(1), "granted");

  // The lease expires 1.2 s after its last renewal. The witnesses are asked
  // only 1.5 s after the last poll, and their promises then cover the same
  // epoch.
  table.down = true;
  isHeld = false;
  mode = "cut_off";
  changed.notify();
  await clock.advance(300);
  isHeld = true;
  mode = "outage";
  changed.notify();
  await clock.advance(300);
  assert.equal(await renew(2), "granted");
  end.abort();
  await clock.advance(2000);
  await run;
});
