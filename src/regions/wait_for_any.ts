import type { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";

/**
 * @param notifiers - any of them ends the wait
 * @param clock - source of time
 * @param limit - `ms` the longest wait; `signal` ends the wait as well
 */
export async function waitForAny(
  notifiers: readonly ChangeNotifier[],
  clock: Clock,
  limit: { ms: number; signal: AbortSignal },
): Promise<void> {
  const done = new AbortController();
  const signal = AbortSignal.any([limit.signal, done.signal]);
  try {
    await Promise.race([
      clock.sleep(limit.ms, signal),
      ...notifiers.map((notifier) => notifier.next(signal)),
    ]);
  } finally {
    done.abort();
  }
}
