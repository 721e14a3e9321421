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
const DISPATCH_TTL_MS = 2000;
const RENEW_HOLD_MS = 300;
const SETTLE_MS = 1500;
const MEASURE_MS = 1500;
const RETRY_DELAY_MS = 50;
const MS_PER_S = 1000;

/**
 * Runs the coordinator on the system clock with synthetic routers that renew
 * continuously, without a network between them.
 *
 * @param region - region to coordinate
 * @returns processor time of the coordinator alone; rates of renewals, plans
 * and store writes; refused renewals; longest renewal in milliseconds
 */
export async function measureCoordinator(
  region: SyntheticRegion,
): Promise<Record<string, number>> {
  const stop = new AbortController();
  const { signal } = stop;
  // Every waiting renewal adds a listener; 0 allows any number.
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
  const coordinatorLease = { epoch: EPOCH, acquiredAt: systemClock.now() };
  let plans = 0;
  const coordinator = new Coordinator({
    region: region.region,
    clock: systemClock,
    logger: quietLogger,
    lease: {
      held: () => coordinatorLease,
      changed: new ChangeNotifier(),
      writeFenced: (transaction) => okAsync(store.transact(transaction)),
    },
    contact: { mode: () => "current", changed: new ChangeNotifier() },
    table: storeClient(store),
    catalogue,
    // The coordinator reads the list once for each plan.
    listedVms: {
      get vms() {
        plans += 1;
        return vms;
      },
      changed: new ChangeNotifier(),
    },
    assignments: new AssignmentView(),
    renewHoldMs: RENEW_HOLD_MS,
    dispatchTtlMs: DISPATCH_TTL_MS,
  });
  const routerCpu = new CpuMeter();
  let renewals = 0;
  let refused = 0;
  let worstMs = 0;
  let measuring = false;
  const runRouter = async (index: number) => {
    const router = new SyntheticRouter(region.report(index));
    // Spreads the first renewals of the routers over the hold time.
    await systemClock.sleep(
      RENEW_HOLD_MS * index / region.size.routers,
      signal,
    );
    while (!signal.aborted) {
      const sentAt = systemClock.now();
      const sent = routerCpu.add(() => JSON.stringify(router.next()));
      const params = RenewParams.parse(JSON.parse(sent));
      const text = JSON.stringify(
        await coordinator.renewal.handle(params, signal),
      );
      routerCpu.add(() => {
        const result = RenewResult.parse(JSON.parse(text));
        if (result.kind === "granted") router.apply(result);
        else if (!signal.aborted) refused += 1;
        if (measuring) {
          renewals += 1;
          worstMs = Math.max(worstMs, systemClock.now() - sentAt);
        }
      });
      if (text.includes("not_coordinator")) {
        await systemClock.sleep(RETRY_DELAY_MS, signal);
      }
    }
  };
  const tasks = [
    coordinator.run(signal),
    ...Array.from(
      { length: region.size.routers },
      (_, index) => runRouter(index),
    ),
  ];
  await systemClock.sleep(SETTLE_MS);
  measuring = true;
  plans = 0;
  refused = 0;
  const { writes } = store.counts;
  const from = systemClock.now();
  const before = { cpu: process.cpuUsage(), routerCpuS: routerCpu.seconds };
  await systemClock.sleep(MEASURE_MS);
  const seconds = (systemClock.now() - from) / MS_PER_S;
  const processCpu = process.cpuUsage(before.cpu);
  const coordinatorCpuS = (processCpu.user + processCpu.system) / 1e6 -
    (routerCpu.seconds - before.routerCpuS);
  stop.abort();
  await Promise.all(tasks);
  return {
    corePercent: coordinatorCpuS / seconds * 100,
    renewalsPerS: renewals / seconds,
    cpuUsPerRenewal: coordinatorCpuS / Math.max(1, renewals) * 1e6,
    plansPerS: plans / seconds,
    refused,
    worstRenewalMs: worstMs,
    storeWritesPerS: (store.counts.writes - writes) / seconds,
  };
}
