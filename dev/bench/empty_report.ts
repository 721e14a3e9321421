import type { BenchReport } from "./bench_report.ts";

/**
 * @param of - name and seed of the bench, and what limits its figures
 * @returns a report without figures
 */
export function emptyReport(
  of: Pick<BenchReport, "name" | "seed" | "notes">,
): BenchReport {
  return { ...of, arms: {}, bounds: [], violations: {} };
}
