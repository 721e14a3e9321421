import type { Clock } from "./clock.ts";

/** `setTimeout` fires at once if its delay is longer. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** The clock of the operating system. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallTime: () => new Date(),
  sleep(ms, signal) {
    return new Promise((resolve) => {
      if (signal?.aborted === true) {
        resolve();
        return;
      }
      const end = () => {
        clearTimeout(timer);
        signal?.removeEventListener("abort", end);
        resolve();
      };
      const timer = setTimeout(end, Math.min(ms, MAX_TIMER_MS));
      signal?.addEventListener("abort", end, { once: true });
    });
  },
};
