import type { Clock } from "../base/clock.ts";

/**
 * Runs an operation with a signal that aborts after a timeout or together with
 * an outer signal.
 *
 * @param options - `clock`, timeout `ms`, and the outer `signal`
 * @param run - the operation; it must end when its signal aborts
 * @returns what the operation returned
 */
export async function withDeadline<T>(
  options: { clock: Clock; ms: number; signal: AbortSignal },
  run: (signal: AbortSignal) => PromiseLike<T>,
): Promise<T> {
  const finished = new AbortController();
  const inner = new AbortController();
  const abort = () => inner.abort();
  // AbortSignal.any would leak memory: a long-lived signal would keep an entry
  // for each call.
  options.signal.addEventListener("abort", abort, { once: true });
  if (options.signal.aborted) abort();
  const timer = options.clock.sleep(options.ms, finished.signal).then(abort);
  try {
    return await run(inner.signal);
  } finally {
    options.signal.removeEventListener("abort", abort);
    finished.abort();
    await timer;
  }
}
