import type { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";

/**
 * Waits until a notifier fires, the time limit passes or the signal aborts. The
 * timer and the subscriptions are released when the wait ends.
 *
 * @param wait - `clock` for the timer, `ms` the time limit in milliseconds,
 * `notifiers` any of which ends the wait
 * @param signal - ends the wait early; the promise then resolves as well
 */
export async function waitForChange(
  wait: { clock: Clock; ms: number; notifiers: readonly ChangeNotifier[] },
  signal: AbortSignal,
): Promise<void> {
  if (signal.aborted) return;
  // Not AbortSignal.any: the signals that it creates accumulate on a source
  // signal that is never aborted while the process runs.
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
