import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Command } from "commander";
import { runUpstream } from "./run_upstream.ts";
import { SoakRun } from "./soak_run.ts";

const MS_PER_MINUTE = 60_000;
const DEFAULT_MINUTES = "0.5";
const DEFAULT_ROUTERS = "4";
const UPSTREAMS_PER_ROUTER = 1.5;
const CALLERS_PER_ROUTER = 4;
/** Limit on the failures that are printed for one run. */
const MAX_LINES = 20;

type Flags = {
  seed: string;
  runs: string;
  minutes: string;
  /** Number of routers; an outer name, given as `--machines`. */
  machines: string;
};

async function soak(flags: Flags): Promise<void> {
  const routers = Number(flags.machines);
  const first = Number(flags.seed);
  for (let seed = first; seed < first + Number(flags.runs); seed++) {
    const dir = mkdtempSync(join(tmpdir(), `fescuerun-soak-${seed}-`));
    const { faults, calls, answered, failures } = await SoakRun.run({
      seed,
      dir,
      routers,
      upstreams: Math.ceil(routers * UPSTREAMS_PER_ROUTER),
      callers: routers * CALLERS_PER_ROUTER,
      durationMs: Number(flags.minutes) * MS_PER_MINUTE,
    });
    console.log(
      `seed ${seed}: ${faults} faults, ${calls} requests, ` +
        `${answered} answered, ${failures.length} broken promises`,
    );
    for (const line of failures.slice(0, MAX_LINES)) console.log(`  ${line}`);
    if (failures.length === 0) rmSync(dir, { recursive: true });
    else {
      console.log(`  logs: ${dir}`);
      process.exitCode = 1;
    }
  }
}

const program = new Command("soak")
  .description("play faults on real processes and check what is promised")
  .option("--seed <number>", "seed of the first run", "1")
  .option("--runs <count>", "runs, each with the next seed", "1")
  .option("--minutes <count>", "how long faults come", DEFAULT_MINUTES)
  .option("--machines <count>", "routers", DEFAULT_ROUTERS)
  .action((flags: Flags) => soak(flags));
program.command("upstream", { hidden: true })
  .argument("<options>", "its place, as JSON")
  .action((text: string) =>
    runUpstream(JSON.parse(text) as Parameters<typeof runUpstream>[0])
  );
void program.parseAsync();
