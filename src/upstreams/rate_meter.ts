import type { Clock } from "../base/clock.ts";

const DECAY_TIME_CONSTANT_MS = 5000;
/** Over a shorter time, single events would count as high rates. */
const MIN_METER_AGE_MS = 1000;

/** Measures the rate of events as an exponentially weighted average over 5 s. */
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
   * @returns events per second
   */
  perSecond(): number {
    this.#decay();
    const age = Math.max(this.#clock.now() - this.#startedAt, MIN_METER_AGE_MS);
    // Corrects for a meter that is younger than the averaging time.
    const observedFraction = 1 - Math.exp(-age / DECAY_TIME_CONSTANT_MS);
    return this.#weight / (observedFraction * DECAY_TIME_CONSTANT_MS / 1000);
  }

  #decay(): void {
    const now = this.#clock.now();
    this.#weight *= Math.exp((this.#updatedAt - now) / DECAY_TIME_CONSTANT_MS);
    this.#updatedAt = now;
  }
}
