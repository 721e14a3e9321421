/**
 * Result of one bench: figures of each arm by repetition, and bounds. All
 * names in it leave the process with `--json`.
 */
export type BenchReport = {
  name: string;
  seed: number;
  /** One value per repetition, by arm, then figure (its name has the unit). */
  arms: Record<string, Record<string, number[]>>;
  bounds: { figure: string; bound: string; ok: boolean }[];
  /** Invariant violations, summed over all repetitions. */
  violations: Record<string, number>;
  notes: string[];
};
