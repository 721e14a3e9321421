import type { Bench } from "./bench.ts";
import type { BenchReport } from "./bench_report.ts";
import { emptyReport } from "./empty_report.ts";
import { leastSquares } from "./least_squares.ts";
import { measureCoordinator } from "./measure_coordinator.ts";
import { measureFollower } from "./measure_follower.ts";
import { measureIdleRouters } from "./measure_idle_routers.ts";
import { measureTerm } from "./measure_term.ts";
import { measureTransport } from "./measure_transport.ts";
import { median } from "./median.ts";
import { pushFigures } from "./push_figures.ts";
import { SyntheticRegion } from "./synthetic_region.ts";

const BASE_SIZE = {
  routers: 50,
  services: 3,
  upstreamsPerService: 12,
  shards: 512,
  entries: 12,
  pins: 0,
  failureDomains: 4,
};
const REGION_COUNT = 7;
const FOLLOWER_REGION_COUNT = 3;
const COORDINATOR_ROUTER_COUNTS = [12, 25, 50, 100, 200];
const TERM_SWEEPS = {
  routers: [12, 25, 50, 100, 200],
  services: [1, 3, 6, 12],
  shards: [64, 128, 256, 512, 1024],
  entries: [12, 25, 50, 100],
  pins: [0, 50, 100, 200, 400],
} as const;
const FOLLOWER_SWEEPS = {
  entries: [12, 100, 400, 1000],
  services: [3, 12, 24, 48],
  routers: [12, 100, 500, 2000],
} as const;
const MAX_COORDINATOR_CORE_PERCENT = 1;
const MAX_HEARTBEAT_BYTES_PER_S = 3000;
const STORE_POLLS_PER_S = 2;
const HEARTBEATS_PER_S = 1000 / 300;

type Sweep = Record<string, readonly number[]>;

function regionOf(variable: string, value: number): SyntheticRegion {
  return new SyntheticRegion({ ...BASE_SIZE, [variable]: value });
}

/** Fits a line to every figure of a sweep, separately for each repetition. */
function addFits(
  report: BenchReport,
  arm: string,
  sweep: Sweep,
): void {
  const repetitions = report.arms.transport?.bytesPerCall?.length ?? 0;
  for (const [variable, values] of Object.entries(sweep)) {
    const points = values.map((value) => ({
      value,
      figures: report.arms[`${arm}, ${variable}=${value}`] ?? {},
    }));
    for (const figure of Object.keys(points[0]?.figures ?? {})) {
      for (let index = 0; index < repetitions; index += 1) {
        const { slope, intercept, r2 } = leastSquares(
          points.map(({ value, figures }) => ({
            x: value,
            y: figures[figure]?.[index] ?? NaN,
          })),
        );
        pushFigures(report.arms, `fit ${arm}, ${figure} by ${variable}`, {
          slope,
          intercept,
          r2,
        });
      }
    }
  }
}

/**
 * Measures how the processor time, memory and bytes of coordination grow with
 * the size of a region; CAPACITY.md uses the slopes.
 */
export const controlBench: Bench = {
  name: "control",
  summary: "cost of control by number of routers, services, entries, pins",
  async run({ seed, repetitions }) {
    const report = emptyReport({
      name: "control",
      seed,
      notes: [
        "processor time depends on what else the machine does",
        "coordinator: one process without a network; transport is separate",
        `base size ${JSON.stringify(BASE_SIZE)}`,
      ],
    });
    // Warm-up: the first runs are slower, because nothing is compiled yet.
    measureTerm(new SyntheticRegion(BASE_SIZE));
    await measureFollower(new SyntheticRegion(BASE_SIZE), REGION_COUNT);
    for (let index = 0; index < repetitions; index += 1) {
      for (const routers of COORDINATOR_ROUTER_COUNTS) {
        pushFigures(
          report.arms,
          `coordinator, routers=${routers}`,
          await measureCoordinator(regionOf("routers", routers)),
        );
      }
      for (const [variable, values] of Object.entries(TERM_SWEEPS)) {
        for (const value of values) {
          pushFigures(
            report.arms,
            `term, ${variable}=${value}`,
            measureTerm(regionOf(variable, value)),
          );
        }
      }
      for (const [variable, values] of Object.entries(FOLLOWER_SWEEPS)) {
        for (const value of values) {
          pushFigures(
            report.arms,
            `follower, ${variable}=${value}`,
            await measureFollower(
              regionOf(variable, value),
              FOLLOWER_REGION_COUNT,
            ),
          );
        }
      }
      for (const regions of [1, FOLLOWER_REGION_COUNT, REGION_COUNT]) {
        pushFigures(
          report.arms,
          `follower, regions=${regions}`,
          await measureFollower(new SyntheticRegion(BASE_SIZE), regions),
        );
      }
      pushFigures(report.arms, "transport", await measureTransport());
    }
    for (const run of await measureIdleRouters({ seed, repetitions })) {
      pushFigures(report.arms, "idle deployment", run);
    }
    addFits(report, "coordinator", { routers: COORDINATOR_ROUTER_COUNTS });
    addFits(report, "term", TERM_SWEEPS);
    addFits(report, "follower", FOLLOWER_SWEEPS);
    addFits(report, "follower", {
      regions: [1, FOLLOWER_REGION_COUNT, REGION_COUNT],
    });
    addBounds(report);
    return report;
  },
};

function addBounds(report: BenchReport): void {
  const value = (arm: string, figure: string) =>
    median(report.arms[arm]?.[figure] ?? []);
  const corePercent = value("coordinator, routers=12", "corePercent");
  report.bounds.push({
    figure: "processor time of a coordinator with 12 routers",
    bound: `at most ${MAX_COORDINATOR_CORE_PERCENT}% of a core, ${
      corePercent.toFixed(1)
    }%`,
    ok: corePercent <= MAX_COORDINATOR_CORE_PERCENT,
  });
  const heartbeatBytesPerS =
    value("follower, regions=7", "heartbeatPollBytes") *
    Math.min(STORE_POLLS_PER_S, HEARTBEATS_PER_S);
  report.bounds.push({
    figure: "bytes of heartbeats that a router reads, 7 regions",
    bound: `at most ${MAX_HEARTBEAT_BYTES_PER_S} a second, ${
      heartbeatBytesPerS.toFixed(0)
    }`,
    ok: heartbeatBytesPerS <= MAX_HEARTBEAT_BYTES_PER_S,
  });
}
