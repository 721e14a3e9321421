import type { CallResult } from "./call_result.ts";

const STATUS_OK = 200;

/**
 * Counts failed requests by their cause.
 *
 * @param results - results of requests
 * @returns number of failed requests by refusal code or connection error
 */
export function countCodes(
  results: readonly CallResult[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { status, code } of results) {
    if (status === STATUS_OK) continue;
    const name = `failed ${code}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
