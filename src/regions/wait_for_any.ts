import type { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";

/**
 * Waits until one of the notifiers notifies, the time has passed or the signal
 * aborts.
 *
 * @param notifiers - notifiers, any of which ends the wait
 * @param clock - source of time
 * @param limit - `ms`, the longest wait in milliseconds; `signal` ends the wait
 */
export async function waitForAny(
  notifiers: readonly ChangeNotifier[],
  clock: Clock,
  limit: { ms: number; signal: AbortSignal },
): Promise<void> {
  const done = new AbortController();
  const end = () => done.abort();
  if (limit.signal.aborted) return;
  limit.signal.addEventListener("abort", end, { once: true });
  try {
    await Promise.race([
      clock.sleep(limit.ms, done.signal),
      ...notifiers.map((notifier) => notifier.next(done.signal)),
    ]);
  } finally {
    limit.signal.removeEventListener("abort", end);
    done.abort();
  }
}
