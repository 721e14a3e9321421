import { systemClock } from "../../src/base/system_clock.ts";
import { control } from "../deployment/control.ts";
import { Deployment } from "../deployment/deployment.ts";
import { PRESETS } from "../deployment/presets.ts";
import { addCounts } from "./add_counts.ts";
import type { Bench } from "./bench.ts";
import { emptyReport } from "./empty_report.ts";
import { countCodes } from "./count_codes.ts";
import { LoadGenerator } from "./load_generator.ts";
import { pushFigures } from "./push_figures.ts";
import { readUpstreams } from "./read_upstreams.ts";
import { countViolations } from "./violations.ts";

const MAX_WORK_AFTER_OUT_MS = 3000;
const RATE_PER_S = 400;
const KEY_COUNT = 200;
const LOAD_BEFORE_OUT_MS = 2000;
const OUT_MS = 6000;
const LOAD_AFTER_IN_MS = 8000;

/** Comparable with the times in the journals of upstream processes. */
function wallMs(): number {
  return performance.timeOrigin + performance.now();
}

async function runOnce(seed: number) {
  const preset = PRESETS.trituradoras;
  const deployment = await Deployment.start({
    preset,
    seed,
    upstream: { coldRatePerS: 20 },
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
    await systemClock.sleep(LOAD_BEFORE_OUT_MS);
    const domain = `${preset.regions[0]}-b`;
    for (const router of deployment.routers) {
      if (router.failureDomain === domain) load.remove(router.callersUrl);
    }
    const outAt = wallMs();
    const outCode = await deployment.client("domain", "out", domain);
    const acceptedMs = wallMs() - outAt;
    await systemClock.sleep(OUT_MS);
    const domainUpstreams = deployment.upstreams.filter((upstream) =>
      upstream.failureDomain === domain
    );
    const journalsWhileOut = await readUpstreams(deployment);
    const upstreamIds = new Set(domainUpstreams.map(({ id }) => id));
    const workTimesMs = journalsWhileOut.filter(({ id }) => upstreamIds.has(id))
      .flatMap(({ journal }) => journal.effects.map(({ at }) => at - outAt))
      .filter((ms) => ms > 0);
    // The upstreams return cold, as if they had been stopped while out.
    for (const { address } of domainUpstreams) {
      await control(`http://${address}/control/faults`, { restartCold: true });
    }
    const inCode = await deployment.client("domain", "in", domain);
    await systemClock.sleep(LOAD_AFTER_IN_MS);
    const results = await load.stop();
    const upstreams = await readUpstreams(deployment);
    const servedAfterReturn = upstreams.filter(({ id }) => upstreamIds.has(id))
      .flatMap(({ journal }) => journal.effects)
      .filter(({ at }) => at - outAt > OUT_MS).length;
    return {
      figures: {
        acceptedMs,
        lastWorkMs: Math.max(0, ...workTimesMs),
        errors: results.filter(({ status }) => status !== 200).length,
        requests: results.length,
        servedAfterReturn,
        clientFailures: Number(outCode !== 0) + Number(inCode !== 0),
      },
      codes: countCodes(results),
      violations: countViolations({ results, upstreams }),
    };
  } finally {
    await deployment.stop();
  }
}

/**
 * Measures requests while a failure domain is taken out of service and returns
 * with cold upstreams.
 */
export const domainBench: Bench = {
  name: "domain",
  summary: "new work, errors and cold load while a failure domain is out",
  async run({ seed, repetitions }) {
    const report = emptyReport({
      name: "domain",
      seed,
      notes: [],
    });
    const failureCounts: Record<string, number> = {};
    for (let repetition = 0; repetition < repetitions; repetition += 1) {
      const { figures, violations, codes } = await runOnce(seed + repetition);
      pushFigures(report.arms, "out and in", figures);
      addCounts(report.violations, violations);
      addCounts(failureCounts, codes);
    }
    const worst = (figure: string) =>
      Math.max(...report.arms["out and in"]?.[figure] ?? []);
    report.bounds.push(
      {
        figure: "last work in the domain after out",
        bound: `at most ${MAX_WORK_AFTER_OUT_MS} ms, worst ${
          worst("lastWorkMs")
        } ms`,
        ok: worst("lastWorkMs") <= MAX_WORK_AFTER_OUT_MS,
      },
      {
        figure: "errors",
        bound: `none, worst ${worst("errors")}`,
        ok: worst("errors") === 0,
      },
      {
        figure: "cold upstreams overloaded",
        bound: `none, ${report.violations.coldOverloads ?? 0}`,
        ok: report.violations.coldOverloads === 0,
      },
      {
        figure: "client failures",
        bound: `none, worst ${worst("clientFailures")}`,
        ok: worst("clientFailures") === 0,
      },
    );
    report.notes.push(JSON.stringify(failureCounts));
    return report;
  },
};
