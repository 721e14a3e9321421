import type { Clock } from "../base/clock.ts";

/** Half of it must be replaced before the median follows a change. */
const WINDOW = 128;
const MAX_AGE_MS = 10_000;

type Sample = { at: number; ms: number };

/** Moving median and 99th percentile of the last service times. */
export class ServiceTimeEstimate {
  readonly #clock: Clock;
  /** In order of arrival. */
  readonly #samples: Sample[] = [];
  /** The same values in order of size, so that reading is O(1). */
  readonly #sorted: number[] = [];

  /**
   * @param clock - time for the age of samples
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param ms - time from sending a request to its first answer byte, or until
   * it was given up, which is a lower bound
   */
  add(ms: number): void {
    this.#samples.push({ at: this.#clock.now(), ms });
    this.#sorted.splice(this.#position(ms), 0, ms);
    if (this.#samples.length > WINDOW) this.#removeOldest();
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
   * Estimates the time until a request that arrived now would be answered. It
   * includes the service time, so that an idle but slow upstream is told apart
   * from an idle fast one.
   *
   * @param requests - requests in flight or waiting
   * @param slots - requests that the upstream runs at a time
   * @param medianMs - service time to assume
   * @returns milliseconds
   */
  static waitMs(requests: number, slots: number, medianMs: number): number {
    return medianMs * (requests + 1) / slots;
  }

  #quantile(q: number): number {
    const oldest = this.#clock.now() - MAX_AGE_MS;
    while ((this.#samples[0]?.at ?? Infinity) < oldest) this.#removeOldest();
    const last = this.#sorted.length - 1;
    return this.#sorted[Math.round(last * q)] ?? 0;
  }

  #removeOldest(): void {
    const oldest = this.#samples.shift();
    if (oldest !== undefined) this.#sorted.splice(this.#position(oldest.ms), 1);
  }

  /** First position whose value is not below `ms`. */
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
