const DEFAULT_TIME_CONSTANT_MS = 1000;
const MS_PER_S = 1000;

/** Measures an entry's demand from requests that were admitted or refused. */
export class DemandMeter {
  #weightedArrivals = 0;
  #decayedAt: number;
  #peakConcurrency = 0;
  readonly #timeConstantMs: number;

  /**
   * @param now - monotonic milliseconds
   * @param timeConstantMs - time over which arrivals are averaged
   */
  constructor(now: number, timeConstantMs = DEFAULT_TIME_CONSTANT_MS) {
    this.#decayedAt = now;
    this.#timeConstantMs = timeConstantMs;
  }

  /**
   * @param now - arrival of the requests, in monotonic milliseconds
   * @param count - number of requests
   */
  recordArrival(now: number, count = 1): void {
    this.#decay(now);
    this.#weightedArrivals += count;
  }

  /**
   * @param concurrency - requests in flight and waiting
   */
  recordConcurrency(concurrency: number): void {
    this.#peakConcurrency = Math.max(this.#peakConcurrency, concurrency);
  }

  /**
   * @param now - monotonic milliseconds
   * @returns arrivals per second, as an exponential moving average over about
   * the time constant
   */
  ratePerS(now: number): number {
    this.#decay(now);
    return this.#weightedArrivals * MS_PER_S / this.#timeConstantMs;
  }

  /**
   * @param concurrency - requests in flight and waiting
   * @returns the peak concurrency since the last call; the current value alone
   * would miss requests that are shorter than the time between two reports
   */
  takePeakConcurrency(concurrency: number): number {
    const peak = Math.max(this.#peakConcurrency, concurrency);
    this.#peakConcurrency = concurrency;
    return peak;
  }

  #decay(now: number): void {
    this.#weightedArrivals *= Math.exp(
      -(now - this.#decayedAt) / this.#timeConstantMs,
    );
    this.#decayedAt = now;
  }
}
