/**
 * @param values - numbers in any order
 * @param share - from 0 to 1, e.g. 0.99
 * @returns the smallest value that at least that share of values reaches, 0
 * without values
 */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.max(0, Math.ceil(sorted.length * share) - 1);
  return sorted[index] ?? 0;
}
