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

const MAX_UNAVAILABLE_MS = 5000;
const RATE_PER_S = 600;
const KEY_COUNT = 120;
const LOAD_BEFORE_LOSS_MS = 3000;
const LOAD_AFTER_LOSS_MS = 9000;

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

/** Returns the VM that coordinates a region, empty if there is none. */
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

/** Kills or freezes processes; returns the base URLs of killed routers. */
async function injectLoss(
  deployment: Deployment,
  loss: Loss,
): Promise<string[]> {
  const region = deployment.routers[0]?.region ?? "";
  const coordinator = await coordinatorOf(deployment, region);
  const inRegion = deployment.routers.filter((router) =>
    router.region === region
  );
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
      return kill(inRegion.filter((router) => router.failureDomain === domain));
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
    await systemClock.sleep(LOAD_BEFORE_LOSS_MS);
    const lostAt = systemClock.now();
    const lostUrls = await injectLoss(deployment, loss);
    for (const url of lostUrls) load.remove(url);
    await systemClock.sleep(LOAD_AFTER_LOSS_MS);
    for (const { process } of deployment.upstreams) process.signal("SIGCONT");
    const results = await load.stop();
    const liveResults = results.filter(({ url }) => !lostUrls.includes(url));
    return {
      unavailable: unavailableMs(liveResults, lostAt),
      codes: countCodes(liveResults),
      failed: liveResults.filter(({ status }) => status !== 200).length,
      violations: countViolations({
        results,
        upstreams: await readUpstreams(deployment),
      }),
    };
  } finally {
    await deployment.stop();
  }
}

/** Measures how long keys are unavailable after processes are lost. */
export const lossBench: Bench = {
  name: "loss",
  summary: "unavailable time of keys after the loss of a part",
  async run({ seed, repetitions }) {
    const report = emptyReport({
      name: "loss",
      seed,
      notes: ["no link delay is added between the processes"],
    });
    const failureCountsByLoss: Record<string, Record<string, number>> = {};
    for (let repetition = 0; repetition < repetitions; repetition += 1) {
      for (const loss of LOSSES) {
        const run = await runOnce(loss, seed + repetition);
        pushFigures(report.arms, loss, {
          unavailableMs: run.unavailable,
          failed: run.failed,
        });
        addCounts(report.violations, run.violations);
        addCounts(failureCountsByLoss[loss] ??= {}, run.codes);
      }
    }
    for (const [loss, figures] of Object.entries(report.arms)) {
      const worst = Math.max(...figures.unavailableMs ?? []);
      report.bounds.push({
        figure: `unavailable time, ${loss}`,
        bound: `at most ${MAX_UNAVAILABLE_MS} ms, worst ${
          Math.round(worst)
        } ms`,
        ok: worst <= MAX_UNAVAILABLE_MS,
      });
    }
    report.notes.push(JSON.stringify(failureCountsByLoss));
    return report;
  },
};
