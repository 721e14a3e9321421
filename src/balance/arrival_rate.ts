/**
 * Exponentially weighted rate of events, which needs no timer.
 */
export class ArrivalRate {
  readonly #timeConstantMs: number;
  #perMs = 0;
  #at: number;

  /**
   * @param timeConstantMs - time in which an old rate decays to a third
   * @param now - monotonic milliseconds
   */
  constructor(timeConstantMs: number, now: number) {
    this.#timeConstantMs = timeConstantMs;
    this.#at = now;
  }

  /**
   * Counts one event.
   *
   * @param now - monotonic milliseconds
   */
  count(now: number): void {
    this.#decay(now);
    this.#perMs += 1 / this.#timeConstantMs;
  }

  /**
   * @param now - monotonic milliseconds
   * @returns events per second
   */
  perS(now: number): number {
    this.#decay(now);
    return this.#perMs * 1000;
  }

  #decay(now: number): void {
    const age = Math.max(0, now - this.#at);
    this.#perMs *= Math.exp(-age / this.#timeConstantMs);
    this.#at = now;
  }
}
