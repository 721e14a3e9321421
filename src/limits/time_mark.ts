import type { Clock } from "../base/clock.ts";

/**
 * A point in time whose age is also right after the process was suspended.
 * Monotonic time may stand still meanwhile, so the clock that has advanced more
 * is used; a wall clock that is set forward makes the age too large, which ends
 * leases early.
 */
export class TimeMark {
  readonly #clock: Clock;
  readonly #now: number;
  readonly #wallMs: number;

  /**
   * @param clock - the clock whose present time is marked
   */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#now = clock.now();
    this.#wallMs = clock.wallTime().getTime();
  }

  /**
   * @returns milliseconds since the mark was created
   */
  get ageMs(): number {
    return Math.max(
      this.#clock.now() - this.#now,
      this.#clock.wallTime().getTime() - this.#wallMs,
    );
  }
}
