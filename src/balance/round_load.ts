/** Larger figures need no decimals, which would only be sent. */
const MIN_WHOLE = 10;

/**
 * @param value - a load figure
 * @returns the figure, rounded to what messages carry
 */
export function roundLoad(value: number): number {
  return value >= MIN_WHOLE ? Math.round(value) : Math.round(value * 10) / 10;
}
