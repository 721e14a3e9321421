const AVERAGE_MS = 1000;
const MS_PER_S = 1000;

/** Measures what an entry's callers ask for, admitted or not. */
export class DemandMeter {
  #arrivals = 0;
  #at: number;
  #peak = 0;

  /**
   * @param now - monotonic milliseconds
   */
  constructor(now: number) {
    this.#at = now;
  }

  /**
   * @param now - when a request arrived
   */
  arrived(now: number): void {
    this.#decay(now);
    this.#arrivals++;
  }

  /**
   * @param concurrency - requests in flight and waiting now
   */
  observed(concurrency: number): void {
    this.#peak = Math.max(this.#peak, concurrency);
  }

  /**
   * @param now - monotonic milliseconds
   * @returns arrivals a second, averaged over about a second
   */
  ratePerS(now: number): number {
    this.#decay(now);
    return this.#arrivals * MS_PER_S / AVERAGE_MS;
  }

  /**
   * @param concurrency - requests in flight and waiting now
   * @returns the highest concurrency since the last call, since requests are
   * often shorter than the time between two reports
   */
  takePeak(concurrency: number): number {
    const peak = Math.max(this.#peak, concurrency);
    this.#peak = concurrency;
    return peak;
  }

  #decay(now: number): void {
    this.#arrivals *= Math.exp(-(now - this.#at) / AVERAGE_MS);
    this.#at = now;
  }
}
