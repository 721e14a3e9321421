import { systemClock } from "../../src/base/system_clock.ts";
import { CoordinatorRow } from "../../src/regions/coordinator_row.ts";
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
import { unavailableMs } from "./unavailable_ms.ts";
import { countViolations } from "./violations.ts";

const BOUND_MS = 5000;
const RATE_PER_S = 600;
const KEY_COUNT = 120;
const BEFORE_MS = 3000;
const AFTER_MS = 9000;

type Loss =
  | "upstream"
  | "upstream frozen"
  | "router"
  | "coordinator"
  | "domain";

const LOSSES: readonly Loss[] = [
  "upstream",
  "upstream frozen",
  "router",
  "coordinator",
  "domain",
];

async function coordinatorOf(
  deployment: Deployment,
  region: string,
): Promise<string> {
  const url = `${deployment.platformUrl}/v1/rows?prefix=coordinators/&since=0`;
  const { rows } = await control(url) as { rows: { value: unknown }[] };
  const found = rows.map(({ value }) => CoordinatorRow.safeParse(value).data)
    .find((row) => row?.region === region);
  return found?.vm ?? "";
}

/** Stops processes and returns the base URLs of the lost routers. */
async function lose(deployment: Deployment, loss: Loss): Promise<string[]> {
  const region = deployment.routers[0]?.region ?? "";
  const coordinator = await coordinatorOf(deployment, region);
  const inRegion = deployment.routers.filter((one) => one.region === region);
  const kill = (routers: typeof inRegion) => {
    for (const router of routers) router.process.signal("SIGKILL");
    return routers.map(({ callersUrl }) => callersUrl);
  };
  switch (loss) {
    case "upstream":
      deployment.upstreams[0]?.process.signal("SIGKILL");
      return [];
    case "upstream frozen":
      deployment.upstreams[0]?.process.signal("SIGSTOP");
      return [];
    case "router":
      return kill(inRegion.filter(({ vm }) => vm !== coordinator).slice(0, 1));
    case "coordinator":
      return kill(inRegion.filter(({ vm }) => vm === coordinator));
    case "domain": {
      const domain = inRegion.find(({ vm }) => vm === coordinator)
        ?.failureDomain;
      for (const upstream of deployment.upstreams) {
        if (upstream.failureDomain === domain) {
          upstream.process.signal("SIGKILL");
        }
      }
      return kill(inRegion.filter((one) => one.failureDomain === domain));
    }
  }
}

async function runOnce(loss: Loss, seed: number) {
  const preset = PRESETS.trituradoras;
  const deployment = await Deployment.start({ preset, seed });
  try {
    const load = new LoadGenerator({
      urls: deployment.routers.map(({ callersUrl }) => callersUrl),
      entries: ["usage", "usage-once"],
      keys: Array.from({ length: KEY_COUNT }, (_, index) => `key-${index}`),
      ratePerS: RATE_PER_S,
      seed,
    });
    load.start();
    await systemClock.sleep(BEFORE_MS);
    const at = systemClock.now();
    const lost = await lose(deployment, loss);
    for (const url of lost) load.remove(url);
    await systemClock.sleep(AFTER_MS);
    for (const { process } of deployment.upstreams) process.signal("SIGCONT");
    const results = await load.stop();
    const viaLive = results.filter(({ url }) => !lost.includes(url));
    return {
      unavailable: unavailableMs(viaLive, at),
      codes: countCodes(viaLive),
      failed: viaLive.filter(({ status }) => status !== 200).length,
      violations: countViolations({
        results,
        upstreams: await readUpstreams(deployment),
      }),
    };
  } finally {
    await deployment.stop();
  }
}

/** Unavailable time of keys after a loss. */
export const lossBench: Bench = {
  name: "loss",
  summary: "unavailable time of keys after the loss of a part",
  async run({ seed, repetitions }) {
    const report = emptyReport({
      name: "loss",
      seed,
      notes: ["no link delay is added between the processes"],
    });
    const codesOfLoss: Record<string, Record<string, number>> = {};
    for (let repetition = 0; repetition < repetitions; repetition += 1) {
      for (const loss of LOSSES) {
        const run = await runOnce(loss, seed + repetition);
        pushFigures(report.arms, loss, {
          unavailableMs: run.unavailable,
          failed: run.failed,
        });
        addCounts(report.violations, run.violations);
        addCounts(codesOfLoss[loss] ??= {}, run.codes);
      }
    }
    for (const [loss, figures] of Object.entries(report.arms)) {
      const worst = Math.max(...figures.unavailableMs ?? []);
      report.bounds.push({
        figure: `unavailable time, ${loss}`,
        bound: `at most ${BOUND_MS} ms, worst ${Math.round(worst)} ms`,
        ok: worst <= BOUND_MS,
      });
    }
    report.notes.push(JSON.stringify(codesOfLoss));
    return report;
  },
};
