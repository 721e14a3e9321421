import type { BenchReport } from "./bench_report.ts";

/**
 * Adds the figures of one run to an arm.
 *
 * @param arms - arms of the report, changed in place
 * @param arm - name of the arm
 * @param figures - value of each figure, by its name
 */
export function pushFigures(
  arms: BenchReport["arms"],
  arm: string,
  figures: Record<string, number>,
): void {
  const valuesByFigure = arms[arm] ??= {};
  for (const [figure, value] of Object.entries(figures)) {
    (valuesByFigure[figure] ??= []).push(value);
  }
}
