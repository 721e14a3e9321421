/** Result of one bench: figures of each arm by repetition, and bounds. */
export type BenchReport = {
  name: string;
  seed: number;
  /** Values of each repetition, by arm, then figure (unit in the name). */
  arms: Record<string, Record<string, number[]>>;
  bounds: { figure: string; bound: string; ok: boolean }[];
  /** Invariant violations, summed over all repetitions. */
  violations: Record<string, number>;
  notes: string[];
};
