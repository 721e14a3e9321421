/**
 * Returns a percentile by the nearest-rank method.
 *
 * @param values - numbers in any order
 * @param fraction - from 0 to 1, e.g. 0.99
 * @returns the smallest value that at least that fraction of the values does
 * not exceed; 0 without values
 */
export function percentile(
  values: readonly number[],
  fraction: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.max(0, Math.ceil(sorted.length * fraction) - 1);
  return sorted[index] ?? 0;
}
