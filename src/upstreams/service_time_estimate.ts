import type { Clock } from "../base/clock.ts";

/** The median follows a change once half of the samples are replaced. */
const MAX_SAMPLES = 128;
const MAX_SAMPLE_AGE_MS = 10_000;

type Sample = { at: number; ms: number };

/** Computes the median and 99th percentile of the last 128 service times. */
export class ServiceTimeEstimate {
  readonly #clock: Clock;
  /** Samples of the last 10 s at most, in order of arrival. */
  readonly #samples: Sample[] = [];
  /** The same values in ascending order, so that reading is O(1). */
  readonly #sorted: number[] = [];

  /**
   * @param clock - clock for the age of samples
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Adds a sample.
   *
   * @param ms - time from sending a request to its first answer byte, or until
   * the request was abandoned, which is a lower bound of its service time
   */
  add(ms: number): void {
    this.#samples.push({ at: this.#clock.now(), ms });
    this.#sorted.splice(this.#position(ms), 0, ms);
    if (this.#samples.length > MAX_SAMPLES) this.#removeOldest();
  }

  /**
   * @returns the median in milliseconds; 0 if unknown
   */
  median(): number {
    return this.#quantile(0.5);
  }

  /**
   * @returns the 99th percentile in milliseconds; 0 if unknown
   */
  p99(): number {
    return this.#quantile(0.99);
  }

  /**
   * Estimates the time until the answer to a request that arrives now. It
   * includes the service time, so that an idle slow upstream gets a longer
   * estimate than an idle fast one.
   *
   * @param requests - number of requests in flight or waiting
   * @param slots - number of requests that the upstream runs concurrently
   * @param medianMs - service time to assume
   * @returns milliseconds
   */
  static waitMs(requests: number, slots: number, medianMs: number): number {
    return medianMs * (requests + 1) / slots;
  }

  #quantile(q: number): number {
    const oldest = this.#clock.now() - MAX_SAMPLE_AGE_MS;
    while ((this.#samples[0]?.at ?? Infinity) < oldest) this.#removeOldest();
    const last = this.#sorted.length - 1;
    return this.#sorted[Math.round(last * q)] ?? 0;
  }

  #removeOldest(): void {
    const oldest = this.#samples.shift();
    if (oldest !== undefined) this.#sorted.splice(this.#position(oldest.ms), 1);
  }

  /** Binary search for the first position whose value is not below `ms`. */
  #position(ms: number): number {
    let low = 0;
    let high = this.#sorted.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#sorted[middle] ?? 0) < ms) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
