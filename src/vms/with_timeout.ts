import type { Clock } from "../base/clock.ts";

/**
 * Runs one operation with a signal that also aborts after a time limit.
 *
 * @param limit - `clock` for the timer and `ms`, the longest run
 * @param signal - aborts the operation as well
 * @param run - the operation; it is started before this function returns
 * @returns what the operation returned
 */
export async function withTimeout<T>(
  limit: { clock: Clock; ms: number },
  signal: AbortSignal,
  run: (signal: AbortSignal) => PromiseLike<T>,
): Promise<T> {
  const either = new AbortController();
  const done = new AbortController();
  const abort = () => either.abort();
  if (signal.aborted) abort();
  signal.addEventListener("abort", abort, { once: true });
  void limit.clock.sleep(limit.ms, done.signal).then(() => {
    if (!done.signal.aborted) either.abort();
  });
  try {
    return await run(either.signal);
  } finally {
    signal.removeEventListener("abort", abort);
    done.abort();
  }
}
