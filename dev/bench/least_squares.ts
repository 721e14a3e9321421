/**
 * Fits a line by least squares.
 *
 * @param points - at least two points with different `x`
 * @returns slope, intercept and R², the fraction of the variance that the line
 * explains
 */
export function leastSquares(
  points: readonly { x: number; y: number }[],
): { slope: number; intercept: number; r2: number } {
  const mean = (valueOf: (point: { x: number; y: number }) => number) =>
    points.reduce((sum, point) => sum + valueOf(point), 0) / points.length;
  const meanX = mean(({ x }) => x);
  const meanY = mean(({ y }) => y);
  const varX = mean(({ x }) => (x - meanX) ** 2);
  const varY = mean(({ y }) => (y - meanY) ** 2);
  const slope = mean(({ x, y }) => (x - meanX) * (y - meanY)) / varX;
  const intercept = meanY - slope * meanX;
  const residualVariance = mean(({ x, y }) => (y - intercept - slope * x) ** 2);
  // A line without slope fits constant values exactly.
  return { slope, intercept, r2: varY === 0 ? 1 : 1 - residualVariance / varY };
}
