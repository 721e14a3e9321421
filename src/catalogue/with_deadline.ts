import type { Clock } from "../base/clock.ts";

/**
 * Runs an operation with a signal that aborts after some time or with an outer
 * signal.
 *
 * @param options - `clock`, `ms` until the abort, `signal` the outer signal
 * @param run - the operation; it has to end when its signal aborts
 * @returns what the operation returned
 */
export async function withDeadline<T>(
  options: { clock: Clock; ms: number; signal: AbortSignal },
  run: (signal: AbortSignal) => PromiseLike<T>,
): Promise<T> {
  const ended = new AbortController();
  const inner = new AbortController();
  const abort = () => inner.abort();
  // AbortSignal.any would keep an entry for each call at a long-lived signal.
  options.signal.addEventListener("abort", abort, { once: true });
  if (options.signal.aborted) abort();
  const timer = options.clock.sleep(options.ms, ended.signal).then(abort);
  try {
    return await run(inner.signal);
  } finally {
    options.signal.removeEventListener("abort", abort);
    ended.abort();
    await timer;
  }
}
