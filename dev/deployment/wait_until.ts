import { systemClock } from "../../src/base/system_clock.ts";

const POLL_MS = 50;

/**
 * @param what - named in the error when the time is up
 * @param timeoutMs - longest wait in milliseconds
 * @param check - whether the awaited state is reached; errors count as no
 */
export async function waitUntil(
  what: string,
  timeoutMs: number,
  check: () => Promise<boolean>,
): Promise<void> {
  const end = systemClock.now() + timeoutMs;
  while (!await check().catch(() => false)) {
    if (systemClock.now() > end) {
      throw new Error(`${what} not reached within ${timeoutMs} ms`);
    }
    await systemClock.sleep(POLL_MS);
  }
}
