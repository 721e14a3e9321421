import { cpus } from "node:os";
import type { BenchReport } from "./bench_report.ts";
import { median } from "./median.ts";

const SIGNIFICANT_DIGITS = 3;

function round(value: number): string {
  return String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
}

/**
 * Prints a report as text.
 *
 * @param report - the report
 */
export function printReport(report: BenchReport): void {
  const processors = `${cpus().length} x ${cpus()[0]?.model ?? "unknown"}`;
  console.log(`bench ${report.name}, seed ${report.seed}, ${processors}`);
  for (const [arm, figures] of Object.entries(report.arms)) {
    for (const [figure, values] of Object.entries(figures)) {
      console.log(
        `  ${arm}: ${figure} median ${round(median(values))}, ` +
          `${round(Math.min(...values))} to ${round(Math.max(...values))} ` +
          `(${values.length} runs)`,
      );
    }
  }
  for (const { figure, bound, ok } of report.bounds) {
    console.log(`  ${ok ? "met   " : "MISSED"} ${figure}: ${bound}`);
  }
  for (const [name, count] of Object.entries(report.violations)) {
    console.log(`  violations ${name}: ${count}`);
  }
  for (const note of report.notes) console.log(`  note: ${note}`);
}
