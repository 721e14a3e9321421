import type { Clock } from "../base/clock.ts";

const CHECK_MS = 25;

type Expiry = {
  /** When to call `onExpiry`, on the router's clock; may be moved. */
  at: number;
  onExpiry: () => void;
};

/**
 * Limits the time of many requests with one timer. A timer and an abort
 * controller for each limit took a tenth of the router's time. Expiry is
 * noticed up to 25 ms late.
 */
export class ExpiryWatch {
  readonly #expiries = new Set<Expiry>();

  /**
   * @param clock - source of time
   * @param signal - ends the watch
   */
  constructor(clock: Clock, signal: AbortSignal) {
    void this.#watch(clock, signal);
  }

  /**
   * @param expiry - called once when its time has come, unless removed before
   */
  add(expiry: Expiry): void {
    this.#expiries.add(expiry);
  }

  /**
   * @param expiry - an expiry that is no longer needed
   */
  remove(expiry: Expiry): void {
    this.#expiries.delete(expiry);
  }

  async #watch(clock: Clock, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(CHECK_MS, signal);
      const now = clock.now();
      for (const expiry of this.#expiries) {
        if (expiry.at > now) continue;
        this.#expiries.delete(expiry);
        expiry.onExpiry();
      }
    }
  }
}
