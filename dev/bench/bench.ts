import type { BenchReport } from "./bench_report.ts";

/** Bench that the command line runs by its name. */
export type Bench = {
  name: string;
  /** One line on what the bench measures. */
  summary: string;
  /**
   * @param cfg - seed and number of repetitions
   * @returns the measured report
   */
  run(cfg: { seed: number; repetitions: number }): Promise<BenchReport>;
};
