import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ShareHolder } from "../../src/limits/share_holder.ts";
import { ShareLedger } from "../../src/limits/share_ledger.ts";
import type { RenewParams } from "../../src/regions/renew_params.ts";
import { ManualClock } from "../../tests/support/manual_clock.ts";
import type { Bench } from "./bench.ts";
import { emptyReport } from "./empty_report.ts";
import { pushFigures } from "./push_figures.ts";

const ENTRY = "usage";
const ROUTER_COUNT = 12;
const RATE_PER_S = 600;
const RUN_MS = 60_000;
const ARRIVAL_STEP_MS = 10;
const SHARE_TTL_MS = 2000;
const RENEW_HOLD_MS = 300;
const LINK_DELAY_MS = 1;
// The load balancer notices a change of readiness up to this late.
const READINESS_POLL_INTERVAL_MS = 1000;
const SHARE_BURST_MS = 100;
const WINDOW_MS = 1000;
const EVENT_INTERVAL_MS = 5000;
const RARE_EVENT_INTERVAL_MS = 20_000;
const CUT_OFF_MS = 5000;
const SERVICE_MS = 4;
const MAX_REFUSED_FRACTION = 0.05;
const ADMIT_TIMEOUT_MS = 500;
const DEMAND_RATIOS = [0.8, 1.5];

// Arm names in the report: "ours" are the shares of this router.
type ArmName = "ours" | "equal fixed shares";
type Router = {
  index: number;
  holder: ShareHolder;
  seq: number;
  answeredSeq: number;
  dead: boolean;
  /** Time until which the router is cut off from the coordinator. */
  cutUntil: number;
  /** Share of the callers' requests, relative to the other routers. */
  demand: number;
  /** Readiness as the load balancer last read it. */
  ready: boolean;
  incarnation: number;
};

function isUnreachable(router: Router, now: number): boolean {
  return router.dead || now < router.cutUntil;
}

function reportOf(router: Router): RenewParams {
  return {
    vm: `entry-${router.index}`,
    incarnation: `run-${router.incarnation}`,
    failureDomain: "a",
    seq: router.seq,
    answeredSeq: router.answeredSeq,
    coordinatorEpoch: router.answeredSeq > 0 ? 1 : 0,
    rows: {},
    leaving: false,
    tenures: [],
    released: [],
    ended: [],
    upstreams: [],
    hotKeys: [],
    limits: router.holder.collect(),
  };
}

async function runOnce(
  opts: {
    arm: ArmName;
    demandRatio: number;
    seed: number;
    eventIntervalMs: number;
  },
): Promise<Record<string, number>> {
  const random = xoroshiro128plus(opts.seed);
  const clock = new ManualClock();
  const stop = new AbortController();
  const ledger = new ShareLedger({
    epoch: 1,
    acquiredAt: 0,
    ttlMs: SHARE_TTL_MS,
  });
  const regionLimit = { ratePerS: RATE_PER_S, concurrency: 10_000 };
  const newRouter = (index: number, incarnation: number): Router => ({
    index,
    incarnation,
    holder: new ShareHolder(clock, stop.signal),
    seq: 0,
    answeredSeq: 0,
    dead: false,
    cutUntil: -Infinity,
    demand: uniformFloat64(random) ** 3,
    ready: false,
  });
  const renew = async (router: Router) => {
    while (!router.dead && !stop.signal.aborted) {
      if (clock.now() < router.cutUntil) {
        await clock.sleep(RENEW_HOLD_MS);
        continue;
      }
      router.seq += 1;
      const { seq } = router;
      const sentAt = clock.now();
      const report = reportOf(router);
      await clock.sleep(LINK_DELAY_MS);
      ledger.accept(report, clock.now());
      await clock.sleep(RENEW_HOLD_MS);
      const shares = ledger.grant(
        report,
        new Map([[ENTRY, regionLimit]]),
        clock.now(),
      );
      await clock.sleep(LINK_DELAY_MS);
      // The answer is lost if the router died or was cut off in the meantime.
      if (isUnreachable(router, clock.now())) continue;
      router.answeredSeq = seq;
      router.holder.apply(shares, sentAt + SHARE_TTL_MS);
    }
  };
  const routers: Router[] = [];
  const startRouter = (index: number, incarnation: number) => {
    const router = newRouter(index, incarnation);
    routers[index] = router;
    if (opts.arm === "ours") void renew(router);
    else {
      router.holder.apply([{
        entry: ENTRY,
        ratePerS: RATE_PER_S / ROUTER_COUNT,
        concurrency: Math.floor(regionLimit.concurrency / ROUTER_COUNT),
      }], Infinity);
    }
  };
  for (let index = 0; index < ROUTER_COUNT; index += 1) startRouter(index, 1);
  await clock.advance(2 * SHARE_TTL_MS);

  const startedAt = clock.now();
  const windows = RUN_MS / WINDOW_MS;
  const arrivedPerWindow = new Array<number>(windows).fill(0);
  const admittedPerWindow = new Array<number>(windows).fill(0);
  let events = 0;
  let excessRequests = 0;
  let worstExcessRequests = 0;
  let lastAdmittedAt = startedAt;
  let sentToDeadRouters = 0;
  const pickRouter = (): Router | undefined => {
    const readyRouters = routers.filter((router) => router.ready);
    const sum = readyRouters.reduce(
      (total, { demand }) => total + demand,
      0,
    );
    let remainingWeight = uniformFloat64(random) * sum;
    return readyRouters.find(({ demand }) => (remainingWeight -= demand) < 0);
  };
  const request = async (router: Router) => {
    const at = clock.now();
    const window = Math.floor((at - startedAt) / WINDOW_MS);
    arrivedPerWindow[window] = (arrivedPerWindow[window] ?? 0) + 1;
    const permit = await router.holder.admit(ENTRY, {
      until: at + ADMIT_TIMEOUT_MS,
      signal: stop.signal,
    });
    if (permit.isErr()) return;
    const now = clock.now();
    // Requests admitted in excess of the rate since an earlier time; the maximum
    // over all earlier times.
    excessRequests =
      Math.max(0, excessRequests - (now - lastAdmittedAt) * RATE_PER_S / 1000) +
      1;
    lastAdmittedAt = now;
    worstExcessRequests = Math.max(worstExcessRequests, excessRequests);
    const admittedWindow = Math.floor((now - startedAt) / WINDOW_MS);
    admittedPerWindow[admittedWindow] =
      (admittedPerWindow[admittedWindow] ?? 0) + 1;
    await clock.sleep(SERVICE_MS);
    permit.value.release();
  };
  let dueRequests = 0;
  for (let at = 0; at < RUN_MS; at += ARRIVAL_STEP_MS) {
    if (at % READINESS_POLL_INTERVAL_MS === 0) {
      for (const router of routers) {
        router.ready = !router.dead && router.holder.leased;
      }
    }
    if (at % opts.eventIntervalMs === 0 && at > 0) {
      const router = routers[Math.floor(uniformFloat64(random) * ROUTER_COUNT)];
      if (router !== undefined) {
        if (events % 3 === 0) router.dead = true;
        else if (events % 3 === 1) router.cutUntil = clock.now() + CUT_OFF_MS;
        else {
          for (const item of routers) item.demand = uniformFloat64(random) ** 3;
        }
      }
      // A dead router is replaced at the next event that picks another router.
      const dead = routers.find((candidate) =>
        candidate.dead && candidate !== router
      );
      if (dead !== undefined) startRouter(dead.index, dead.incarnation + 1);
      events += 1;
    }
    dueRequests += RATE_PER_S * opts.demandRatio * ARRIVAL_STEP_MS / 1000;
    while (dueRequests >= 1) {
      dueRequests -= 1;
      const router = pickRouter();
      // Callers of a dead router get a connection error, not a refusal.
      if (router === undefined || router.dead) sentToDeadRouters += 1;
      else void request(router);
    }
    await clock.advance(ARRIVAL_STEP_MS);
  }
  await clock.advance(ADMIT_TIMEOUT_MS);
  stop.abort();
  await clock.advance(SHARE_TTL_MS);

  const total = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0);
  const allowedInRun = Math.min(
    total(arrivedPerWindow),
    RATE_PER_S * RUN_MS / 1000,
  );
  // Requests admitted after the last window count in the total only.
  const admittedWithinRun = admittedPerWindow.slice(0, windows);
  const allowedPerWindow = RATE_PER_S * WINDOW_MS / 1000;
  return {
    admittedOverLimit: Math.max(...admittedWithinRun) / allowedPerWindow,
    admittedOverLimitInAll: total(admittedPerWindow) /
      (RATE_PER_S * RUN_MS / 1000),
    excessRequests: worstExcessRequests,
    wronglyRefused: Math.max(0, allowedInRun - total(admittedPerWindow)) /
      allowedInRun,
    sentToDeadRouters,
  };
}

/**
 * Measures admission under a rate limit that 12 routers share, while routers
 * fail and their demand changes.
 */
export const limitsBench: Bench = {
  name: "limits",
  summary: "admitted over allowed, and refused although allowed",
  async run({ seed, repetitions }) {
    // Every router's share allows a burst, and at least one token.
    const burst = RATE_PER_S * SHARE_BURST_MS / 1000 + ROUTER_COUNT;
    const report = emptyReport({
      name: "limits",
      seed,
      notes: [
        `${ROUTER_COUNT} routers, ${RATE_PER_S} requests/s allowed, ` +
        `${RUN_MS / 1000} s; every ${
          EVENT_INTERVAL_MS / 1000
        } s a router dies, is ` +
        "cut off, or the demand of routers changes; dead ones are replaced",
        `excess: requests above the rate since any moment; bursts of the ` +
        `shares allow ${burst}`,
        "ShareHolder and ShareLedger on a moved clock; no processes",
      ],
    });
    for (let index = 0; index < repetitions; index += 1) {
      for (const arm of ["ours", "equal fixed shares"] as const) {
        for (const demandRatio of DEMAND_RATIOS) {
          for (
            const eventIntervalMs of [EVENT_INTERVAL_MS, RARE_EVENT_INTERVAL_MS]
          ) {
            pushFigures(
              report.arms,
              `${arm}, demand ${demandRatio}, event each ${
                eventIntervalMs / 1000
              } s`,
              await runOnce({
                arm,
                demandRatio,
                eventIntervalMs,
                seed: seed + index,
              }),
            );
          }
        }
      }
    }
    const worst = (figure: string) =>
      Math.max(
        ...Object.entries(report.arms)
          .filter(([arm]) => arm.startsWith("ours"))
          .flatMap(([, figures]) => figures[figure] ?? []),
      );
    const excess = worst("excessRequests");
    const refused = worst("wronglyRefused");
    report.bounds.push({
      figure: "admitted above the limit and its bursts",
      bound: `at most ${burst} requests, worst ${excess.toFixed(1)}`,
      ok: excess <= burst,
    }, {
      figure: "refused although allowed",
      bound: `under ${MAX_REFUSED_FRACTION}, worst ${refused.toFixed(4)}`,
      ok: refused < MAX_REFUSED_FRACTION,
    });
    return report;
  },
};
