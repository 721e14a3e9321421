import type { Clock } from "./clock.ts";

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
      const timer = setTimeout(end, ms);
      signal?.addEventListener("abort", end, { once: true });
    });
  },
};
