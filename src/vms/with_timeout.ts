import type { Clock } from "../base/clock.ts";

/**
 * Runs an operation with a signal that also aborts after a time limit.
 *
 * @param limit - `clock` for the timer and `ms`, the time limit in milliseconds
 * @param signal - also aborts the operation
 * @param run - the operation; it is started before this function returns
 * @returns the operation's result
 */
export async function withTimeout<T>(
  limit: { clock: Clock; ms: number },
  signal: AbortSignal,
  run: (signal: AbortSignal) => PromiseLike<T>,
): Promise<T> {
  const combined = new AbortController();
  const timerEnd = new AbortController();
  const abort = () => combined.abort();
  if (signal.aborted) abort();
  signal.addEventListener("abort", abort, { once: true });
  void limit.clock.sleep(limit.ms, timerEnd.signal).then(() => {
    if (!timerEnd.signal.aborted) combined.abort();
  });
  try {
    return await run(combined.signal);
  } finally {
    signal.removeEventListener("abort", abort);
    timerEnd.abort();
  }
}
