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
