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
  const late = new AbortController();
  const timer = options.clock.sleep(options.ms, ended.signal)
    .then(() => late.abort());
  try {
    return await run(AbortSignal.any([options.signal, late.signal]));
  } finally {
    ended.abort();
    await timer;
  }
}
