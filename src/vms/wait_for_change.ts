import type { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";

/**
 * Waits until a notifier fires, a time has passed or the signal aborts. The
 * timer and the subscriptions end with the wait.
 *
 * @param wait - `clock` for the timer, `ms` the longest wait, `notifiers` any
 * of which ends the wait
 * @param signal - ends the wait early; the promise then resolves as well
 */
export async function waitForChange(
  wait: { clock: Clock; ms: number; notifiers: readonly ChangeNotifier[] },
  signal: AbortSignal,
): Promise<void> {
  if (signal.aborted) return;
  // Not AbortSignal.any: its results accumulate on a signal that lives as long
  // as the process.
  const end = new AbortController();
  const abort = () => end.abort();
  signal.addEventListener("abort", abort, { once: true });
  await Promise.race([
    wait.clock.sleep(Math.max(0, wait.ms), end.signal),
    ...wait.notifiers.map((notifier) => notifier.next(end.signal)),
  ]);
  signal.removeEventListener("abort", abort);
  end.abort();
}
