/** Time in which the weight of a request falls to 1/e. */
const RATE_TIME_CONSTANT_MS = 1500;
/** Rates decay at most this often instead of with each report. */
const MIN_DECAY_STEP_MS = 100;
/** A key below this rate counts as idle and is removed. */
const MIN_RATE_PER_S = 0.02;
const MS_PER_S = 1000;

/**
 * Tracks the request rate of each key of one service as an exponentially
 * weighted moving average.
 */
export class KeyLoad {
  readonly #rates = new Map<number, number>();
  #decayedAt: number;

  /**
   * @param now - monotonic milliseconds
   */
  constructor(now: number) {
    this.#decayedAt = now;
  }

  /**
   * Adds the request counts of one report.
   *
   * @param counts - keys and their number of requests since the previous report
   * of the same VM
   * @param now - monotonic milliseconds
   */
  add(counts: readonly (readonly [number, number])[], now: number): void {
    this.#decay(now);
    for (const [key, count] of counts) {
      const before = this.#rates.get(key) ?? 0;
      this.#rates.set(key, before + count * MS_PER_S / RATE_TIME_CONSTANT_MS);
    }
  }

  /**
   * @param now - monotonic milliseconds
   * @returns keys and their requests per second, in ascending order of keys
   */
  rates(now: number): (readonly [number, number])[] {
    this.#decay(now);
    return [...this.#rates].sort(([a], [b]) => a - b);
  }

  #decay(now: number): void {
    const ms = now - this.#decayedAt;
    if (ms < MIN_DECAY_STEP_MS) return;
    this.#decayedAt = now;
    const factor = Math.exp(-ms / RATE_TIME_CONSTANT_MS);
    for (const [key, rate] of this.#rates) {
      const next = rate * factor;
      if (next < MIN_RATE_PER_S) this.#rates.delete(key);
      else this.#rates.set(key, next);
    }
  }
}
