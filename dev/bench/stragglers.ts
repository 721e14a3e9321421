import { systemClock } from "../../src/base/system_clock.ts";
import { control } from "../deployment/control.ts";
import { Deployment } from "../deployment/deployment.ts";
import { PRESETS } from "../deployment/presets.ts";
import { addCounts } from "./add_counts.ts";
import { BaselineRouter } from "./baseline_router.ts";
import type { Bench } from "./bench.ts";
import type { BenchReport } from "./bench_report.ts";
import { emptyReport } from "./empty_report.ts";
import type { CallResult } from "./call_result.ts";
import { LoadGenerator } from "./load_generator.ts";
import { percentile } from "./percentile.ts";
import { pushFigures } from "./push_figures.ts";
import { readUpstreams } from "./read_upstreams.ts";
import { countViolations } from "./violations.ts";

const MAX_P99_MS = 16;
const SLOW_FACTOR = 10;
const SLOWED_UPSTREAM_COUNTS = [0, 1, 3];
const KEY_COUNT = 5000;
// About a quarter of the capacity of 12 upstreams with 2 slots each and a
// service time of 4 ms.
const RATE_PER_S = 1500;
const SETTLE_MS = 4000;
const MEASURE_MS = 5000;
const BASELINE_ROUTER_COUNT = 4;

// Has one region only. A hop between routers of two regions would add to the
// measured time beyond the service time.
const PRESET = {
  ...PRESETS.trituradoras,
  regions: ["sierra"],
  services: PRESETS.trituradoras.services
    .filter(({ name }) => name !== "bookings")
    .map((service) => ({
      ...service,
      checksGrants: false,
      upstreamsPerDomain: 6,
    })),
};

/** Returns the latency of a request beyond the service time. */
function addedMs(result: CallResult): number {
  return result.endedAt - result.startedAt - result.serviceMs;
}

async function runLoad(
  run: { urls: readonly string[]; service: string; seed: number },
): Promise<{ measured: CallResult[]; all: CallResult[] }> {
  const load = new LoadGenerator({
    urls: run.urls,
    entries: [run.service],
    keys: Array.from({ length: KEY_COUNT }, (_, index) => `key-${index}`),
    ratePerS: RATE_PER_S,
    seed: run.seed,
  });
  load.start();
  await systemClock.sleep(SETTLE_MS);
  const from = systemClock.now();
  await systemClock.sleep(MEASURE_MS);
  const all = await load.stop();
  return { all, measured: all.filter(({ startedAt }) => startedAt >= from) };
}

function figuresOf(results: readonly CallResult[]): Record<string, number> {
  const served = results.filter(({ status }) => status === 200).map(addedMs);
  return {
    p50Ms: percentile(served, 0.5),
    p99Ms: percentile(served, 0.99),
    p999Ms: percentile(served, 0.999),
    failed: results.length - served.length,
  };
}

async function runOnce(report: BenchReport, seed: number): Promise<void> {
  const deployment = await Deployment.start({ preset: PRESET, seed });
  try {
    for (const { name: service } of PRESET.services) {
      const upstreams = deployment.upstreams
        .filter((upstream) => upstream.service === service);
      const baselines = Array.from(
        { length: BASELINE_ROUTER_COUNT },
        () => new BaselineRouter(upstreams.map(({ address }) => address)),
      );
      const baselineUrls = await Promise.all(
        baselines.map((baseline) => baseline.start()),
      );
      for (const slowed of SLOWED_UPSTREAM_COUNTS) {
        for (const [index, { address }] of upstreams.entries()) {
          await control(`http://${address}/control/faults`, {
            slowFactor: index < slowed ? SLOW_FACTOR : 1,
          });
        }
        const routerRun = await runLoad({
          urls: deployment.routers.map(({ callersUrl }) => callersUrl),
          service,
          seed,
        });
        const baselineRun = await runLoad({
          urls: baselineUrls,
          service,
          seed,
        });
        const arm = `${service}, ${slowed} slowed`;
        pushFigures(
          report.arms,
          `router: ${arm}`,
          figuresOf(routerRun.measured),
        );
        pushFigures(
          report.arms,
          `baseline: ${arm}`,
          figuresOf(baselineRun.measured),
        );
        addCounts(
          report.violations,
          countViolations({
            results: routerRun.all,
            upstreams: await readUpstreams(deployment),
          }),
        );
      }
      await Promise.all(baselines.map((baseline) => baseline.stop()));
    }
  } finally {
    await deployment.stop();
  }
}

function addBounds(report: BenchReport): void {
  for (const { name: service } of PRESET.services) {
    for (const slowed of SLOWED_UPSTREAM_COUNTS) {
      const arm = `${service}, ${slowed} slowed`;
      const routerP99Ms = report.arms[`router: ${arm}`]?.p99Ms ?? [];
      const baselineP99Ms = report.arms[`baseline: ${arm}`]?.p99Ms ?? [];
      const worst = Math.max(...routerP99Ms);
      report.bounds.push({
        figure: `p99 beyond the service time, ${arm}`,
        bound: `at most ${MAX_P99_MS} ms, worst ${worst.toFixed(1)} ms`,
        ok: worst <= MAX_P99_MS,
      });
      if (slowed === 0) continue;
      report.bounds.push({
        figure: `p99 against the baseline, ${arm}`,
        bound: "below it in every repetition",
        ok: routerP99Ms.every((value, index) =>
          value < (baselineP99Ms[index] ?? 0)
        ),
      });
    }
  }
}

/**
 * Measures tail latency while some upstreams are slow, and compares it with the
 * baseline router.
 */
export const stragglersBench: Bench = {
  name: "stragglers",
  summary: "tail latency with 0, 1 and 3 upstreams slowed 10 times",
  async run({ seed, repetitions }) {
    const report = emptyReport({
      name: "stragglers",
      seed,
      notes: [
        `${RATE_PER_S} requests/s on 12 upstreams, 4 routers; the baseline ` +
        "runs in the load generator's process",
      ],
    });
    for (let repetition = 0; repetition < repetitions; repetition += 1) {
      await runOnce(report, seed + repetition);
    }
    addBounds(report);
    return report;
  },
};
