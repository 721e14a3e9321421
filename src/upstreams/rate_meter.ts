import type { Clock } from "../base/clock.ts";

const AVERAGING_MS = 5000;
/** A younger meter would report single requests as high rates. */
const MIN_AGE_MS = 1000;

/** Rate of events, averaged with weights that decay over some seconds. */
export class RateMeter {
  readonly #clock: Clock;
  readonly #startedAt: number;
  #weight = 0;
  #updatedAt: number;

  /**
   * @param clock - time of the events
   */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAt = clock.now();
    this.#updatedAt = this.#startedAt;
  }

  /** Counts one event. */
  add(): void {
    this.#decay();
    this.#weight += 1;
  }

  /**
   * @returns events a second
   */
  perSecond(): number {
    this.#decay();
    const age = Math.max(this.#clock.now() - this.#startedAt, MIN_AGE_MS);
    // The share of the averaging time that a young meter has seen.
    const seen = 1 - Math.exp(-age / AVERAGING_MS);
    return this.#weight / (seen * AVERAGING_MS / 1000);
  }

  #decay(): void {
    const now = this.#clock.now();
    this.#weight *= Math.exp((this.#updatedAt - now) / AVERAGING_MS);
    this.#updatedAt = now;
  }
}
