import type { Clock } from "../base/clock.ts";

/** Allows a burst, and from then on one event in each interval. */
export class TokenBucket {
  readonly #clock: Clock;
  readonly #burst: number;
  readonly #intervalMs: number;
  #tokens: number;
  #countedAt: number;

  /**
   * @param options - `clock`, events of a `burst`, and `intervalMs` between
   * further events
   */
  constructor(options: { clock: Clock; burst: number; intervalMs: number }) {
    this.#clock = options.clock;
    this.#burst = options.burst;
    this.#intervalMs = options.intervalMs;
    this.#tokens = options.burst;
    this.#countedAt = options.clock.now();
  }

  /**
   * @returns whether an event is allowed now; it then counts
   */
  take(): boolean {
    const now = this.#clock.now();
    this.#tokens = Math.min(
      this.#burst,
      this.#tokens + (now - this.#countedAt) / this.#intervalMs,
    );
    this.#countedAt = now;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
