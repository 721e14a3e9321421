import type { CallResult } from "./call_result.ts";

// Requests that the loss does not affect take less time than this.
const SLOW_REQUEST_MS = 250;
const STATUS_OK = 200;

/** Returns the unavailable time of one key; `calls` in order of their start. */
function keyUnavailableMs(calls: CallResult[], since: number): number {
  const affected = calls.filter(({ status, startedAt, endedAt }) =>
    endedAt > since &&
    (status !== STATUS_OK || endedAt - startedAt > SLOW_REQUEST_MS)
  );
  const last = affected.at(-1);
  if (affected[0] === undefined || last === undefined) return 0;
  const from = Math.max(since, affected[0].startedAt);
  if (last.status === STATUS_OK) return last.endedAt - from;
  const served = calls.find(({ status, startedAt }) =>
    status === STATUS_OK && startedAt >= last.startedAt
  );
  return (served?.endedAt ?? Infinity) - from;
}

/**
 * Measures for how long a loss made keys unavailable.
 *
 * @param results - results of requests sent to live routers
 * @param since - time of the loss, monotonic milliseconds
 * @returns the longest unavailable time of a key in milliseconds, from its
 * first failed or slow request until it was served again; Infinity if it never
 * was
 */
export function unavailableMs(
  results: readonly CallResult[],
  since: number,
): number {
  const callsByKey = new Map<string, CallResult[]>();
  for (const result of results) {
    const calls = callsByKey.get(result.key) ?? [];
    calls.push(result);
    callsByKey.set(result.key, calls);
  }
  const unavailableTimesMs = [...callsByKey.values()].map((calls) =>
    keyUnavailableMs(
      calls.sort((a, b) => a.startedAt - b.startedAt),
      since,
    )
  );
  return Math.max(0, ...unavailableTimesMs);
}
