import type { CallResult } from "./call_result.ts";

// Longer than a request of an undisturbed service takes.
const SLOW_MS = 250;
const STATUS_OK = 200;

function unavailableOfKey(calls: CallResult[], since: number): number {
  const affected = calls.filter(({ status, startedAt, endedAt }) =>
    endedAt > since && (status !== STATUS_OK || endedAt - startedAt > SLOW_MS)
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
 * @param results - results of callers that reached a live router
 * @param since - time of the loss, milliseconds of the bench's clock
 * @returns for the key that fared worst, the time from its first failed or slow
 * request until it was served again; Infinity if it never was
 */
export function unavailableMs(
  results: readonly CallResult[],
  since: number,
): number {
  const byKey = new Map<string, CallResult[]>();
  for (const result of results) {
    const calls = byKey.get(result.key) ?? [];
    calls.push(result);
    byKey.set(result.key, calls);
  }
  const times = [...byKey.values()].map((calls) =>
    unavailableOfKey(
      calls.sort((a, b) => a.startedAt - b.startedAt),
      since,
    )
  );
  return Math.max(0, ...times);
}
