import { readFileSync } from "node:fs";
import { systemClock } from "../../src/base/system_clock.ts";
import { control } from "../deployment/control.ts";
import { Deployment } from "../deployment/deployment.ts";
import { PRESETS } from "../deployment/presets.ts";
import { cpuSeconds } from "./cpu_seconds.ts";
import { median } from "./median.ts";

const SETTLE_MS = 6000;
const MEASURE_MS = 4000;
const MS_PER_S = 1000;
const KIB_PER_MIB = 1024;

function residentMiB(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) / KIB_PER_MIB;
}

/**
 * Measures the router processes of a deployment that receives no requests.
 *
 * @param opts - seed of the deployment, and number of measurements
 * @returns for each measurement, processor time and memory of routers and
 * coordinators, and calls of the table service
 */
export async function measureIdleRouters(
  opts: { seed: number; repetitions: number },
): Promise<Record<string, number>[]> {
  const preset = PRESETS.trituradoras;
  const deployment = await Deployment.start({ preset, seed: opts.seed });
  try {
    await systemClock.sleep(SETTLE_MS);
    const readCounts = async () =>
      await control(`${deployment.platformUrl}/control/counts`) as {
        reads: number;
        writes: number;
      };
    const runs: Record<string, number>[] = [];
    for (let index = 0; index < opts.repetitions; index += 1) {
      const from = systemClock.now();
      const before = await readCounts();
      const pids = deployment.routers.flatMap(({ process }) =>
        process.pid ?? []
      );
      const cpuBefore = pids.map(cpuSeconds);
      await systemClock.sleep(MEASURE_MS);
      const cpuS = pids.map((pid, at) => cpuSeconds(pid) - (cpuBefore[at] ?? 0))
        .sort((a, b) => a - b);
      const after = await readCounts();
      const seconds = (systemClock.now() - from) / MS_PER_S;
      const regions = preset.regions.length;
      const medianCorePercent = (values: number[]) =>
        median(values) / seconds * 100;
      runs.push({
        // In ascending order: the coordinator of each region uses the most.
        routerCorePercent: medianCorePercent(cpuS.slice(0, -regions)),
        coordinatorCorePercent: medianCorePercent(cpuS.slice(-regions)),
        residentMiB: median(pids.map(residentMiB)),
        readsPerSPerRouter: (after.reads - before.reads) / seconds /
          pids.length,
        writesPerSPerRegion: (after.writes - before.writes) / seconds /
          regions,
      });
    }
    return runs;
  } finally {
    await deployment.stop();
  }
}
