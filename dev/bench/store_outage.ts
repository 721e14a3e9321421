import { systemClock } from "../../src/base/system_clock.ts";
import { control } from "../deployment/control.ts";
import { Deployment } from "../deployment/deployment.ts";
import { PRESETS } from "../deployment/presets.ts";
import { addCounts } from "./add_counts.ts";
import type { Bench } from "./bench.ts";
import { emptyReport } from "./empty_report.ts";
import type { CallResult } from "./call_result.ts";
import { LoadGenerator } from "./load_generator.ts";
import { pushFigures } from "./push_figures.ts";
import { readUpstreams } from "./read_upstreams.ts";
import { countViolations } from "./violations.ts";

const ARMS = ["outage", "hang"] as const;
const RATE_PER_S = 300;
const KEY_COUNT = 120;
const WARM_UP_MS = 3000;
const MEASURE_BEFORE_MS = 3000;
const OUTAGE_MS = 20_000;
const UPSTREAM_LOSS_DELAY_MS = 8000;
const MEASURE_AFTER_MS = 10_000;
const STATUS_OK = 200;

type Counts = { receivedReads: number; receivedWrites: number };

async function readCounts(deployment: Deployment): Promise<Counts> {
  return await control(`${deployment.platformUrl}/control/counts`) as Counts;
}

/**
 * Waits for `ms` milliseconds and returns the rates of table service calls in
 * this time.
 */
async function storeRates(
  deployment: Deployment,
  phase: string,
  ms: number,
): Promise<Record<string, number>> {
  const from = await readCounts(deployment);
  await systemClock.sleep(ms);
  const to = await readCounts(deployment);
  const perS = (calls: number) => calls * 1000 / ms;
  return {
    [`store reads/s ${phase}`]: perS(to.receivedReads - from.receivedReads),
    [`store writes/s ${phase}`]: perS(to.receivedWrites - from.receivedWrites),
  };
}

/** Returns the upstream that last served each key before a time. */
function ownersAt(
  results: readonly CallResult[],
  at: number,
): Map<string, string> {
  const owners = new Map<string, string>();
  for (const { key, status, endedAt, servedBy } of results) {
    if (status === STATUS_OK && endedAt < at) owners.set(key, servedBy);
  }
  return owners;
}

/**
 * Returns the longest time in milliseconds from `since` until a key with
 * failures was served again after its last failure.
 */
function recoveryMs(results: readonly CallResult[], since: number): number {
  const failed = results.filter(({ status, endedAt }) =>
    status !== STATUS_OK && endedAt > since
  );
  const recoveryTimesMs = failed.map((failure) => {
    const ends = results.filter(({ key, status, startedAt, endedAt }) =>
      key === failure.key && status === STATUS_OK && endedAt > since &&
      startedAt >= failure.startedAt
    ).map(({ endedAt }) => endedAt);
    return Math.min(...ends) - since;
  });
  return Math.max(0, ...recoveryTimesMs);
}

/** Counts failed requests in total and by code, each as a figure. */
function failureFigures(
  name: string,
  results: readonly CallResult[],
): Record<string, number> {
  const failed = results.filter(({ status }) => status !== STATUS_OK);
  const figures: Record<string, number> = { [name]: failed.length };
  for (const { code } of failed) {
    addCounts(figures, { [`${name}: ${code}`]: 1 });
  }
  return figures;
}

async function runOnce(arm: typeof ARMS[number], seed: number) {
  const deployment = await Deployment.start({
    preset: PRESETS.trituradoras,
    seed,
  });
  try {
    const load = new LoadGenerator({
      urls: deployment.routers.map(({ callersUrl }) => callersUrl),
      entries: ["usage", "usage-once"],
      keys: Array.from({ length: KEY_COUNT }, (_, index) => `key-${index}`),
      ratePerS: RATE_PER_S,
      seed,
    });
    load.start();
    await systemClock.sleep(WARM_UP_MS);
    const before = await storeRates(deployment, "before", MEASURE_BEFORE_MS);
    const faults = `${deployment.platformUrl}/control/faults`;
    const outageAt = systemClock.now();
    await control(faults, { [arm]: true });
    const during = await storeRates(
      deployment,
      "during",
      UPSTREAM_LOSS_DELAY_MS,
    );
    const lostUpstream = deployment.upstreams[0];
    const lostAt = systemClock.now();
    lostUpstream?.process.signal("SIGKILL");
    await systemClock.sleep(OUTAGE_MS - UPSTREAM_LOSS_DELAY_MS);
    const returnedAt = systemClock.now();
    await control(faults, {});
    const after = await storeRates(deployment, "after", MEASURE_AFTER_MS);
    const results = await load.stop();
    // No key is reassigned in an outage: these own the keys until it ends.
    const ownersAtLoss = ownersAt(results, lostAt);
    const hasLostOwner = ({ key }: CallResult) =>
      ownersAtLoss.get(key) === lostUpstream?.id;
    const lostKeyResults = results.filter((result) =>
      hasLostOwner(result) && result.endedAt >= lostAt
    );
    const ownedKeyResults = results.filter((result) =>
      result.endedAt >= outageAt && !lostKeyResults.includes(result)
    );
    return {
      figures: {
        // Errors before the outage are caused by the host: such a run does not
        // measure the outage.
        "errors before": results.filter(({ status, endedAt }) =>
          status !== STATUS_OK && endedAt < outageAt
        ).length,
        "requests on owned keys": ownedKeyResults.length,
        ...failureFigures("errors on owned keys", ownedKeyResults),
        "slowest on owned keys, ms": Math.max(
          ...ownedKeyResults.map(({ startedAt, endedAt }) =>
            endedAt - startedAt
          ),
        ),
        "requests on lost keys": lostKeyResults.length,
        ...failureFigures("refused on lost keys", lostKeyResults),
        "served again after return, ms": recoveryMs(results, returnedAt),
        ...before,
        ...during,
        ...after,
      },
      violations: countViolations({
        // The killed upstream's journal is lost: its effects can't be checked.
        results: results.filter(({ servedBy }) =>
          servedBy !== lostUpstream?.id
        ),
        upstreams: await readUpstreams(deployment),
      }),
    };
  } finally {
    await deployment.stop();
  }
}

/** Measures requests on owned keys while the table service fails or hangs. */
export const storeOutageBench: Bench = {
  name: "store-outage",
  summary: "service of owned keys through an outage of the table service",
  async run({ seed, repetitions }) {
    const report = emptyReport({
      name: "store-outage",
      seed,
      notes: [
        "no link delay is added between the processes",
        `outage of ${OUTAGE_MS} ms, an upstream is lost after ` +
        `${UPSTREAM_LOSS_DELAY_MS} ms`,
      ],
    });
    for (let repetition = 0; repetition < repetitions; repetition += 1) {
      for (const arm of ARMS) {
        const run = await runOnce(arm, seed + repetition);
        pushFigures(report.arms, arm, run.figures);
        addCounts(report.violations, run.violations);
      }
    }
    for (const [arm, figures] of Object.entries(report.arms)) {
      const worst = Math.max(...figures["errors on owned keys"] ?? []);
      report.bounds.push({
        figure: `errors on owned keys, ${arm}`,
        bound: `none, worst ${worst}`,
        ok: worst === 0,
      });
    }
    return report;
  },
};
