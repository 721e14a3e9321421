import { Command } from "commander";
import type { Bench } from "./bench.ts";
import { churnBench } from "./churn.ts";
import { controlBench } from "./control.ts";
import { domainBench } from "./domain.ts";
import { imbalanceBench } from "./imbalance.ts";
import { limitsBench } from "./limits.ts";
import { lossBench } from "./loss.ts";
import { printReport } from "./print_report.ts";
import { storeOutageBench } from "./store_outage.ts";
import { stragglersBench } from "./stragglers.ts";
import { tenantKeysBench } from "./tenant_keys.ts";
import { throughputBench } from "./throughput.ts";

const BENCHES: readonly Bench[] = [
  lossBench,
  domainBench,
  storeOutageBench,
  stragglersBench,
  throughputBench,
  controlBench,
  churnBench,
  imbalanceBench,
  limitsBench,
  tenantKeysBench,
];
const DEFAULT_REPETITIONS = "5";

const program = new Command("bench")
  .description("measures the router against small stand-ins on loopback")
  .argument("<name>", BENCHES.map(({ name }) => name).join(", "))
  .option("--seed <n>", "seed of all random choices", "1")
  .option("--repetitions <n>", "runs of each arm", DEFAULT_REPETITIONS)
  .option("--json", "print the report as JSON")
  .action(
    async (
      name: string,
      opts: { seed: string; repetitions: string; json?: true },
    ) => {
      const bench = BENCHES.find((candidate) => candidate.name === name);
      if (bench === undefined) {
        return program.error(`unknown bench ${JSON.stringify(name)}`);
      }
      const report = await bench.run({
        seed: Number(opts.seed),
        repetitions: Number(opts.repetitions),
      });
      if (opts.json === true) console.log(JSON.stringify(report));
      else printReport(report);
    },
  );

void program.parseAsync();
