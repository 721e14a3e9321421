import type { BenchReport } from "./bench_report.ts";

/**
 * Creates the report of a bench before its first repetition.
 *
 * @param header - name and seed of the bench, and notes on what limits its
 * figures
 * @returns a report without figures
 */
export function emptyReport(
  header: Pick<BenchReport, "name" | "seed" | "notes">,
): BenchReport {
  return { ...header, arms: {}, bounds: [], violations: {} };
}
