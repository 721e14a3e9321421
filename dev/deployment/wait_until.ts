import { systemClock } from "../../src/base/system_clock.ts";

const POLL_INTERVAL_MS = 50;

/**
 * Polls until a state is reached; rejects when the timeout has expired.
 *
 * @param awaitedState - the awaited state, as the error names it
 * @param timeoutMs - longest wait in milliseconds
 * @param check - returns whether the state is reached; an error counts as no
 */
export async function waitUntil(
  awaitedState: string,
  timeoutMs: number,
  check: () => Promise<boolean>,
): Promise<void> {
  const end = systemClock.now() + timeoutMs;
  while (!await check().catch(() => false)) {
    if (systemClock.now() > end) {
      throw new Error(`${awaitedState} not reached within ${timeoutMs} ms`);
    }
    await systemClock.sleep(POLL_INTERVAL_MS);
  }
}
