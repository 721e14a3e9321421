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
const ROUTERS = 12;
const RATE_PER_S = 600;
const RUN_MS = 60_000;
const STEP_MS = 10;
const TTL_MS = 2000;
const HOLD_MS = 300;
const DELAY_MS = 1;
// The load balancer notices the end of readiness this late.
const BALANCER_MS = 1000;
const BURST_MS = 100;
const WINDOW_MS = 1000;
const EVENT_MS = 5000;
const RARE_EVENT_MS = 20_000;
const CUT_OFF_MS = 5000;
const SERVICE_MS = 4;
const BOUND_REFUSED = 0.05;
const PATIENT_MS = 500;
const LOADS = [0.8, 1.5];

type ArmName = "ours" | "equal fixed shares";
type Router = {
  index: number;
  holder: ShareHolder;
  seq: number;
  answeredSeq: number;
  dead: boolean;
  cutUntil: number;
  weight: number;
  /** Since when the load balancer could see the present state. */
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
  opts: { arm: ArmName; load: number; seed: number; eventMs: number },
): Promise<Record<string, number>> {
  const random = xoroshiro128plus(opts.seed);
  const clock = new ManualClock();
  const stop = new AbortController();
  const ledger = new ShareLedger({ epoch: 1, acquiredAt: 0, ttlMs: TTL_MS });
  const part = { ratePerS: RATE_PER_S, concurrency: 10_000 };
  const newRouter = (index: number, incarnation: number): Router => ({
    index,
    incarnation,
    holder: new ShareHolder(clock, stop.signal),
    seq: 0,
    answeredSeq: 0,
    dead: false,
    cutUntil: -Infinity,
    weight: uniformFloat64(random) ** 3,
    ready: false,
  });
  const renew = async (router: Router) => {
    while (!router.dead && !stop.signal.aborted) {
      if (clock.now() < router.cutUntil) {
        await clock.sleep(HOLD_MS);
        continue;
      }
      router.seq += 1;
      const { seq } = router;
      const sentAt = clock.now();
      const report = reportOf(router);
      await clock.sleep(DELAY_MS);
      ledger.accept(report, clock.now());
      await clock.sleep(HOLD_MS);
      const shares = ledger.grant(
        report,
        new Map([[ENTRY, part]]),
        clock.now(),
      );
      await clock.sleep(DELAY_MS);
      // The answer to a router that was cut off meanwhile is lost.
      if (isUnreachable(router, clock.now())) continue;
      router.answeredSeq = seq;
      router.holder.apply(shares, sentAt + TTL_MS);
    }
  };
  const routers: Router[] = [];
  const start = (index: number, incarnation: number) => {
    const router = newRouter(index, incarnation);
    routers[index] = router;
    if (opts.arm === "ours") void renew(router);
    else {
      router.holder.apply([{
        entry: ENTRY,
        ratePerS: RATE_PER_S / ROUTERS,
        concurrency: Math.floor(part.concurrency / ROUTERS),
      }], Infinity);
    }
  };
  for (let index = 0; index < ROUTERS; index += 1) start(index, 1);
  await clock.advance(2 * TTL_MS);

  const began = clock.now();
  const windows = RUN_MS / WINDOW_MS;
  const arrived = new Array<number>(windows).fill(0);
  const admitted = new Array<number>(windows).fill(0);
  let events = 0;
  let excess = 0;
  let worstExcess = 0;
  let lastAt = began;
  let wasted = 0;
  const pick = (): Router | undefined => {
    const open = routers.filter((router) => router.ready);
    const sum = open.reduce((total, { weight }) => total + weight, 0);
    let rest = uniformFloat64(random) * sum;
    return open.find(({ weight }) => (rest -= weight) < 0);
  };
  const request = async (router: Router) => {
    const at = clock.now();
    const window = Math.floor((at - began) / WINDOW_MS);
    arrived[window] = (arrived[window] ?? 0) + 1;
    const permit = await router.holder.admit(ENTRY, {
      until: at + PATIENT_MS,
      signal: stop.signal,
    });
    if (permit.isErr()) return;
    const now = clock.now();
    // Requests above the rate since any earlier moment.
    excess = Math.max(0, excess - (now - lastAt) * RATE_PER_S / 1000) + 1;
    lastAt = now;
    worstExcess = Math.max(worstExcess, excess);
    const into = Math.floor((now - began) / WINDOW_MS);
    admitted[into] = (admitted[into] ?? 0) + 1;
    await clock.sleep(SERVICE_MS);
    permit.value.release();
  };
  let due = 0;
  for (let at = 0; at < RUN_MS; at += STEP_MS) {
    if (at % BALANCER_MS === 0) {
      for (const router of routers) {
        router.ready = !router.dead && router.holder.leased;
      }
    }
    if (at % opts.eventMs === 0 && at > 0) {
      const router = routers[Math.floor(uniformFloat64(random) * ROUTERS)];
      if (router !== undefined) {
        if (events % 3 === 0) router.dead = true;
        else if (events % 3 === 1) router.cutUntil = clock.now() + CUT_OFF_MS;
        else {
          for (const one of routers) one.weight = uniformFloat64(random) ** 3;
        }
      }
      // The dead router's VM is replaced at the event after next.
      const dead = routers.find((one) => one.dead && one !== router);
      if (dead !== undefined) start(dead.index, dead.incarnation + 1);
      events += 1;
    }
    due += RATE_PER_S * opts.load * STEP_MS / 1000;
    while (due >= 1) {
      due -= 1;
      const router = pick();
      // Callers of a dead router see a broken connection, not a refusal.
      if (router === undefined || router.dead) wasted += 1;
      else void request(router);
    }
    await clock.advance(STEP_MS);
  }
  await clock.advance(PATIENT_MS);
  stop.abort();
  await clock.advance(TTL_MS);

  const total = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0);
  const allowed = Math.min(total(arrived), RATE_PER_S * RUN_MS / 1000);
  // Admissions that waited beyond the end count in the sum only.
  const whole = admitted.slice(0, windows);
  const perWindow = RATE_PER_S * WINDOW_MS / 1000;
  return {
    admittedOverLimit: Math.max(...whole) / perWindow,
    admittedOverLimitInAll: total(admitted) / (RATE_PER_S * RUN_MS / 1000),
    excessRequests: worstExcess,
    wronglyRefused: Math.max(0, allowed - total(admitted)) / allowed,
    sentToDeadRouters: wasted,
  };
}

/** Admission of a rate limit that 12 changing routers share. */
export const limitsBench: Bench = {
  name: "limits",
  summary: "admitted over allowed, and refused although allowed",
  async run({ seed, repetitions }) {
    // Every share may hold a burst, at least one token.
    const burst = RATE_PER_S * BURST_MS / 1000 + ROUTERS;
    const report = emptyReport({
      name: "limits",
      seed,
      notes: [
        `${ROUTERS} routers, ${RATE_PER_S} requests/s allowed, ` +
        `${RUN_MS / 1000} s; every ${EVENT_MS / 1000} s a router dies, is ` +
        "cut off, or the demand of routers changes; dead ones are replaced",
        `excess: requests above the rate since any moment; bursts of the ` +
        `shares allow ${burst}`,
        "ShareHolder and ShareLedger on a moved clock; no processes",
      ],
    });
    for (let index = 0; index < repetitions; index += 1) {
      for (const arm of ["ours", "equal fixed shares"] as const) {
        for (const load of LOADS) {
          for (const eventMs of [EVENT_MS, RARE_EVENT_MS]) {
            pushFigures(
              report.arms,
              `${arm}, demand ${load}, event each ${eventMs / 1000} s`,
              await runOnce({ arm, load, eventMs, seed: seed + index }),
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
      bound: `under ${BOUND_REFUSED}, worst ${refused.toFixed(4)}`,
      ok: refused < BOUND_REFUSED,
    });
    return report;
  },
};
