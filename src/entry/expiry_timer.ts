import type { Clock } from "../base/clock.ts";

const CHECK_INTERVAL_MS = 25;

type Expiry = {
  /** When to call `onExpiry`, on the router's clock; may be changed. */
  at: number;
  onExpiry: () => void;
};

/**
 * Enforces the time limits of many requests with one timer. A timer and an
 * abort controller for each limit used a tenth of the router's CPU time. Expiry
 * is detected up to 25 ms late.
 */
export class ExpiryTimer {
  readonly #expiries = new Set<Expiry>();

  /**
   * @param clock - source of time
   * @param signal - stops the timer
   */
  constructor(clock: Clock, signal: AbortSignal) {
    void this.#run(clock, signal);
  }

  /**
   * Adds a time limit.
   *
   * @param expiry - its `onExpiry` is called once, unless it is removed before
   */
  add(expiry: Expiry): void {
    this.#expiries.add(expiry);
  }

  /**
   * Removes a time limit.
   *
   * @param expiry - an expiry that was added
   */
  remove(expiry: Expiry): void {
    this.#expiries.delete(expiry);
  }

  async #run(clock: Clock, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      const now = clock.now();
      for (const expiry of this.#expiries) {
        if (expiry.at > now) continue;
        this.#expiries.delete(expiry);
        expiry.onExpiry();
      }
    }
  }
}
