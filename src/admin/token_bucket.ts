import type { Clock } from "../base/clock.ts";

/** Rate limiter: allows a burst of events, then one event per interval. */
export class TokenBucket {
  readonly #clock: Clock;
  readonly #burst: number;
  readonly #intervalMs: number;
  #tokens: number;
  #refilledAt: number;

  /**
   * @param options - `clock`, number of events in a `burst`, and `intervalMs`
   * between further events, in milliseconds
   */
  constructor(options: { clock: Clock; burst: number; intervalMs: number }) {
    this.#clock = options.clock;
    this.#burst = options.burst;
    this.#intervalMs = options.intervalMs;
    this.#tokens = options.burst;
    this.#refilledAt = options.clock.now();
  }

  /**
   * Takes a token for an event.
   *
   * @returns whether the event is allowed now
   */
  takeToken(): boolean {
    const now = this.#clock.now();
    this.#tokens = Math.min(
      this.#burst,
      this.#tokens + (now - this.#refilledAt) / this.#intervalMs,
    );
    this.#refilledAt = now;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
