import { setMaxListeners } from "node:events";
import { okAsync } from "neverthrow";
import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { CatalogueView } from "../../src/catalogue/catalogue_view.ts";
import { Coordinator } from "../../src/regions/coordinator.ts";
import { RenewParams } from "../../src/regions/renew_params.ts";
import { RenewResult } from "../../src/regions/renew_result.ts";
import { AssignmentView } from "../../src/shards/assignment_view.ts";
import { TableStore } from "../standins/table_store.ts";
import { CpuMeter } from "./cpu_meter.ts";
import { quietLogger } from "./quiet_logger.ts";
import { storeClient } from "./store_client.ts";
import type { SyntheticRegion } from "./synthetic_region.ts";
import { SyntheticRouter } from "./synthetic_router.ts";

const EPOCH = 2;
const TTL_MS = 2000;
const HOLD_MS = 300;
const SETTLE_MS = 1500;
const MEASURE_MS = 1500;
const BACKOFF_MS = 50;
const MS_PER_S = 1000;

/**
 * Runs the real coordinator on the system's clock for routers that renew all
 * the time, without a network between them.
 *
 * @param region - the region
 * @returns processor time of the coordinator alone, renewals and plans
 */
export async function measureCoordinator(
  region: SyntheticRegion,
): Promise<Record<string, number>> {
  const stop = new AbortController();
  const { signal } = stop;
  // Every waiting renewal listens.
  setMaxListeners(0, signal);
  const store = new TableStore();
  for (const row of region.rows()) {
    store.transact({
      conditions: [],
      writes: [{
        key: `assignments/${row.region}/${row.service}`,
        value: row,
      }],
    });
  }
  const catalogue = new CatalogueView();
  catalogue.adopt({
    schema: 1,
    version: 1,
    author: "bench",
    at: "",
    writeId: "",
    document: region.catalogue(),
  });
  const vms = region.vms();
  const held = { epoch: EPOCH, acquiredAt: systemClock.now() };
  let plans = 0;
  const coordinator = new Coordinator({
    region: region.region,
    clock: systemClock,
    logger: quietLogger,
    lease: {
      held: () => held,
      changed: new ChangeNotifier(),
      writeFenced: (transaction) => okAsync(store.transact(transaction)),
    },
    contact: { mode: () => "current", changed: new ChangeNotifier() },
    table: storeClient(store),
    catalogue,
    // The list is read once for each plan.
    listedVms: {
      get vms() {
        plans += 1;
        return vms;
      },
      changed: new ChangeNotifier(),
    },
    assignments: new AssignmentView(),
    renewHoldMs: HOLD_MS,
    dispatchTtlMs: TTL_MS,
  });
  const outside = new CpuMeter();
  let renewals = 0;
  let refused = 0;
  let worstMs = 0;
  let measuring = false;
  const renewAll = async (index: number) => {
    const router = new SyntheticRouter(region.report(index));
    // Routers do not start at the same moment.
    await systemClock.sleep(HOLD_MS * index / region.size.routers, signal);
    while (!signal.aborted) {
      const sentAt = systemClock.now();
      const sent = outside.add(() => JSON.stringify(router.next()));
      const params = RenewParams.parse(JSON.parse(sent));
      const text = JSON.stringify(
        await coordinator.renewal.handle(params, signal),
      );
      outside.add(() => {
        const result = RenewResult.parse(JSON.parse(text));
        if (result.kind === "granted") router.apply(result);
        else if (!signal.aborted) refused += 1;
        if (measuring) {
          renewals += 1;
          worstMs = Math.max(worstMs, systemClock.now() - sentAt);
        }
      });
      if (text.includes("not_coordinator")) {
        await systemClock.sleep(BACKOFF_MS, signal);
      }
    }
  };
  const tasks = [
    coordinator.run(signal),
    ...Array.from(
      { length: region.size.routers },
      (_, index) => renewAll(index),
    ),
  ];
  await systemClock.sleep(SETTLE_MS);
  measuring = true;
  plans = 0;
  refused = 0;
  const { writes } = store.counts;
  const from = systemClock.now();
  const before = { cpu: process.cpuUsage(), outside: outside.seconds };
  await systemClock.sleep(MEASURE_MS);
  const seconds = (systemClock.now() - from) / MS_PER_S;
  const used = process.cpuUsage(before.cpu);
  const own = (used.user + used.system) / 1e6 -
    (outside.seconds - before.outside);
  stop.abort();
  await Promise.all(tasks);
  return {
    corePercent: own / seconds * 100,
    renewalsPerS: renewals / seconds,
    cpuUsPerRenewal: own / Math.max(1, renewals) * 1e6,
    plansPerS: plans / seconds,
    refused,
    worstRenewalMs: worstMs,
    storeWritesPerS: (store.counts.writes - writes) / seconds,
  };
}
