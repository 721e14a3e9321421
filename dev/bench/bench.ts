import type { BenchReport } from "./bench_report.ts";

/** One bench by name. */
export type Bench = {
  name: string;
  /** One line for `bench --help`. */
  summary: string;
  /**
   * @param cfg - seed and number of repetitions
   * @returns the measured report
   */
  run(cfg: { seed: number; repetitions: number }): Promise<BenchReport>;
};
