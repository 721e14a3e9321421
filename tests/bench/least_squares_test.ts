import assert from "node:assert/strict";
import { test } from "node:test";
import { leastSquares } from "../../dev/bench/least_squares.ts";

const cases = [
  {
    name: "fits points on a line exactly",
    points: [[1, 5], [2, 7], [4, 11]],
    expected: { slope: 2, intercept: 3, r2: 1 },
  },
  {
    name: "fits constant values with slope 0 and R² 1",
    points: [[1, 4], [2, 4], [3, 4]],
    expected: { slope: 0, intercept: 4, r2: 1 },
  },
  {
    // Guards against a wrong R², which would make a poor fit on the capacity
    // page look good.
    name: "gives R² 0 for values that do not depend on x",
    points: [[1, 0], [2, 3], [3, 0]],
    expected: { slope: 0, intercept: 1, r2: 0 },
  },
];

for (const { name, points, expected } of cases) {
  test(`least squares: ${name}`, () => {
    const fit = leastSquares(points.map(([x = 0, y = 0]) => ({ x, y })));
    for (const key of ["slope", "intercept", "r2"] as const) {
      assert.ok(
        Math.abs(fit[key] - expected[key]) < 1e-9,
        `${key} is ${fit[key]}`,
      );
    }
  });
}
