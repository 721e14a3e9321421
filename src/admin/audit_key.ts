/**
 * @param at - wall-clock time of the record
 * @param random - tells records of the same millisecond apart
 * @returns key of an audit row; keys sort by time
 */
export function auditKey(at: Date, random: string): string {
  return `audit/${at.toISOString()}-${random}`;
}
