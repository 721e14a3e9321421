/**
 * Returns the key of an audit row.
 *
 * @param at - wall-clock time of the row
 * @param random - distinguishes rows of the same millisecond
 * @returns the key; keys sort by time
 */
export function auditKey(at: Date, random: string): string {
  return `audit/${at.toISOString()}-${random}`;
}
