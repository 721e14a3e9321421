/**
 * Returns the median.
 *
 * @param values - at least one number
 * @returns the middle value, or the mean of the two middle ones for an even
 * count
 */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  const high = sorted[middle] ?? NaN;
  if (sorted.length % 2 === 1) return high;
  return ((sorted[middle - 1] ?? NaN) + high) / 2;
}
