/**
 * Adds counts to a sum, by name.
 *
 * @param sum - counts to add to, changed in place
 * @param counts - counts to add
 */
export function addCounts(
  sum: Record<string, number>,
  counts: Record<string, number>,
): void {
  for (const [name, count] of Object.entries(counts)) {
    sum[name] = (sum[name] ?? 0) + count;
  }
}
