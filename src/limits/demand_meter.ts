const AVERAGING_TIME_CONSTANT_MS = 1000;
const MS_PER_S = 1000;

/** Measures an entry's demand from requests that were admitted or refused. */
export class DemandMeter {
  #weightedArrivals = 0;
  #decayedAt: number;
  #peakConcurrency = 0;

  /**
   * @param now - monotonic milliseconds
   */
  constructor(now: number) {
    this.#decayedAt = now;
  }

  /**
   * @param now - arrival of a request, in monotonic milliseconds
   */
  recordArrival(now: number): void {
    this.#decay(now);
    this.#weightedArrivals++;
  }

  /**
   * @param concurrency - requests in flight and waiting
   */
  recordConcurrency(concurrency: number): void {
    this.#peakConcurrency = Math.max(this.#peakConcurrency, concurrency);
  }

  /**
   * @param now - monotonic milliseconds
   * @returns arrivals per second, as an exponential moving average over about a
   * second
   */
  ratePerS(now: number): number {
    this.#decay(now);
    return this.#weightedArrivals * MS_PER_S / AVERAGING_TIME_CONSTANT_MS;
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
      -(now - this.#decayedAt) / AVERAGING_TIME_CONSTANT_MS,
    );
    this.#decayedAt = now;
  }
}
