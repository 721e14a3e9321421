import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { regionLimits } from "../../src/limits/region_limits.ts";
import { CoordinatorTerm } from "../../src/regions/coordinator_term.ts";
import { RenewParams } from "../../src/regions/renew_params.ts";
import { RenewResult } from "../../src/regions/renew_result.ts";
import { CpuMeter } from "./cpu_meter.ts";
import type { SyntheticRegion } from "./synthetic_region.ts";
import { SyntheticRouter } from "./synthetic_router.ts";

const DISPATCH_TTL_MS = 2000;
const RENEW_HOLD_MS = 300;
const EPOCH = 2;
const SETTLE_ROUNDS = 3;
const MIN_MEASURED_CPU_S = 0.03;
const MAX_RENEWALS = 200;
const MICROS_PER_S = 1e6;
const BYTES_PER_MIB = 1024 * 1024;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/**
 * Runs a coordinator term on a simulated clock and measures the cost of one
 * renewal at the coordinator and at the router, with the schemas that they use.
 *
 * @param region - region to coordinate
 * @returns processor time in microseconds, sizes in bytes, memory in MiB
 */
export function measureTerm(region: SyntheticRegion): Record<string, number> {
  collectGarbage();
  const heapBefore = process.memoryUsage().heapUsed;
  const catalogue = region.catalogue();
  const vms = region.vms();
  let revision = 1;
  let now = 0;
  const term = new CoordinatorTerm({
    region: region.region,
    lease: { epoch: EPOCH, acquiredAt: 0 },
    dispatchTtlMs: DISPATCH_TTL_MS,
    rows: region.rows().map((row) => ({ revision, row })),
    catalogue,
  });
  let writes = 0;
  const plan = () => {
    const planned = term.plan({
      now,
      catalogue,
      vms,
      otherRegionRows: [],
      newWriteId: () => `00000000-0000-4000-8000-${String(revision)}`,
    });
    for (const { row, service } of planned) {
      revision += 1;
      writes += 1;
      term.adopt({ revision, row }, now);
      term.onWriteSettled(service, { gainsBlocked: false });
    }
  };
  const routers = Array.from(
    { length: region.size.routers },
    (_, index) => new SyntheticRouter(region.report(index)),
  );
  const coordinatorCpu = new CpuMeter();
  const routerCpu = new CpuMeter();
  const regionLimitsCpu = new CpuMeter();
  let requestBytes = 0;
  let answerBytes = 0;
  const renew = (router: SyntheticRouter) => {
    const sent = routerCpu.add(() => JSON.stringify(router.next()));
    const text = coordinatorCpu.add(() => {
      const report = RenewParams.parse(JSON.parse(sent));
      const session = term.accept(report, now);
      const limits = regionLimitsCpu.add(() =>
        regionLimits(catalogue, region.region)
      );
      return JSON.stringify(term.answer(session, limits, now));
    });
    routerCpu.add(() => {
      const grant = RenewResult.parse(JSON.parse(text));
      if (grant.kind === "granted") router.apply(grant);
    });
    requestBytes += Buffer.byteLength(sent);
    answerBytes += Buffer.byteLength(text);
  };
  const renewalIntervalMs = RENEW_HOLD_MS / routers.length;
  for (let round = 0; round < SETTLE_ROUNDS; round += 1) {
    for (const router of routers) {
      now += renewalIntervalMs;
      renew(router);
    }
    plan();
  }
  collectGarbage();
  const heapBytes = process.memoryUsage().heapUsed - heapBefore;

  const cpuBeforeS = {
    coordinator: coordinatorCpu.seconds,
    router: routerCpu.seconds,
  };
  requestBytes = 0;
  answerBytes = 0;
  let renewals = 0;
  writes = 0;
  while (
    coordinatorCpu.seconds - cpuBeforeS.coordinator < MIN_MEASURED_CPU_S &&
    renewals < MAX_RENEWALS
  ) {
    const router = routers[renewals % routers.length];
    if (router === undefined) break;
    now += renewalIntervalMs;
    renew(router);
    renewals += 1;
  }
  const cpuUsPerCall = (call: () => void): number => {
    const meter = new CpuMeter();
    let calls = 0;
    while (meter.seconds < MIN_MEASURED_CPU_S) {
      meter.add(call);
      calls += 1;
    }
    return meter.seconds / calls * MICROS_PER_S;
  };
  const sessions = routers.slice(0, 16).map((router) => {
    const report = router.next();
    const session = term.accept(report, now);
    term.answer(session, new Map(), now);
    report.answeredSeq = report.seq;
    return session;
  });
  const checkUs = cpuUsPerCall(() => {
    for (const session of sessions) term.isUpToDate(session);
  }) / sessions.length;
  const planUs = cpuUsPerCall(plan);
  const row = region.rows()[0];
  return {
    serveUs: (coordinatorCpu.seconds - cpuBeforeS.coordinator) / renewals *
      MICROS_PER_S,
    clientUs: (routerCpu.seconds - cpuBeforeS.router) / renewals * MICROS_PER_S,
    checkUs,
    planUs,
    requestBytes: requestBytes / renewals,
    answerBytes: answerBytes / renewals,
    rowBytes: Buffer.byteLength(JSON.stringify(row)),
    heapMiB: heapBytes / BYTES_PER_MIB,
    writesInSteadyState: writes,
  };
}
