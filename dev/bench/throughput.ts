import { systemClock } from "../../src/base/system_clock.ts";
import { Deployment } from "../deployment/deployment.ts";
import { PRESETS } from "../deployment/presets.ts";
import { addCounts } from "./add_counts.ts";
import type { Bench } from "./bench.ts";
import type { BenchReport } from "./bench_report.ts";
import { emptyReport } from "./empty_report.ts";
import { cpuSeconds } from "./cpu_seconds.ts";
import { LoadGenerator } from "./load_generator.ts";
import { percentile } from "./percentile.ts";
import { pushFigures } from "./push_figures.ts";
import { readUpstreams } from "./read_upstreams.ts";
import { countViolations } from "./violations.ts";

const MIN_REQUESTS_PER_CORE_SECOND = 2500;
const MAX_P99_ADDED_MS = 16;
const RATE_PER_S = 2500;
const KEY_COUNT = 5000;
const SETTLE_MS = 3000;
const MEASURE_MS = 6000;

const PRESET = {
  ...PRESETS.trituradoras,
  regions: ["sierra"],
  routersPerDomain: 1,
  services: [{
    name: "usage",
    keyed: true,
    checksGrants: true,
    upstreamsPerDomain: 4,
    slots: 16,
    connections: 130,
    serviceMs: 1,
  }],
};

async function runOnce(report: BenchReport, seed: number): Promise<void> {
  const deployment = await Deployment.start({ preset: PRESET, seed });
  try {
    const load = new LoadGenerator({
      urls: deployment.routers.map(({ callersUrl }) => callersUrl),
      entries: ["usage"],
      keys: Array.from({ length: KEY_COUNT }, (_, index) => `key-${index}`),
      ratePerS: RATE_PER_S,
      seed,
    });
    const pids = deployment.routers.flatMap(({ process }) => process.pid ?? []);
    const totalCpuS = () => pids.reduce((sum, pid) => sum + cpuSeconds(pid), 0);
    load.start();
    await systemClock.sleep(SETTLE_MS);
    const from = systemClock.now();
    const cpuBefore = totalCpuS();
    await systemClock.sleep(MEASURE_MS);
    const cpuUsedS = totalCpuS() - cpuBefore;
    const to = systemClock.now();
    const results = await load.stop();
    const measured = results.filter(({ startedAt, status }) =>
      startedAt >= from && startedAt < to && status === 200
    );
    const addedMs = measured.map((result) =>
      result.endedAt - result.startedAt - result.serviceMs
    );
    pushFigures(report.arms, "two routers, half of the requests hop", {
      perCorePerS: measured.length / cpuUsedS,
      servedPerS: measured.length * 1000 / (to - from),
      p50AddedMs: percentile(addedMs, 0.5),
      p99AddedMs: percentile(addedMs, 0.99),
      failed: results.filter(({ status }) => status !== 200).length,
    });
    addCounts(
      report.violations,
      countViolations({
        results,
        upstreams: await readUpstreams(deployment),
      }),
    );
  } finally {
    await deployment.stop();
  }
}

/** Measures requests a second per core of the routers, and added latency. */
export const throughputBench: Bench = {
  name: "throughput",
  summary: "requests/s for each core of the routers and added latency",
  async run({ seed, repetitions }) {
    const report = emptyReport({
      name: "throughput",
      seed,
      notes: [
        "a core is a second of processor time of the router processes; a " +
        "request that hops counts the time of both routers",
      ],
    });
    for (let repetition = 0; repetition < repetitions; repetition += 1) {
      await runOnce(report, seed + repetition);
    }
    for (const figures of Object.values(report.arms)) {
      const lowestPerCorePerS = Math.min(...figures.perCorePerS ?? []);
      const highestP99Ms = Math.max(...figures.p99AddedMs ?? []);
      report.bounds.push({
        figure: "requests/s for each core",
        bound: `at least ${MIN_REQUESTS_PER_CORE_SECOND}, least ${
          lowestPerCorePerS.toFixed(0)
        }`,
        ok: lowestPerCorePerS >= MIN_REQUESTS_PER_CORE_SECOND,
      }, {
        figure: "p99 beyond the service time",
        bound: `at most ${MAX_P99_ADDED_MS} ms, worst ${
          highestP99Ms.toFixed(1)
        } ms`,
        ok: highestP99Ms <= MAX_P99_ADDED_MS,
      });
    }
    return report;
  },
};
