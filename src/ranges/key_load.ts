/** Recent requests weigh more; this is when the weight has fallen to 1/e. */
const DECAY_MS = 1500;
/** Rates are brought up to date in steps, not with each report. */
const DECAY_STEP_MS = 100;
/** Below this rate a key counts as idle again. */
const MIN_PER_S = 0.02;
const MS_PER_S = 1000;

/** Rates of requests for each key of one service. */
export class KeyLoad {
  readonly #rates = new Map<number, number>();
  #at: number;

  /**
   * @param now - monotonic milliseconds
   */
  constructor(now: number) {
    this.#at = now;
  }

  /**
   * @param counts - keys and how many requests they got since the last report
   * of the same VM
   * @param now - monotonic milliseconds
   */
  add(counts: readonly (readonly [number, number])[], now: number): void {
    this.#decay(now);
    for (const [key, count] of counts) {
      const before = this.#rates.get(key) ?? 0;
      this.#rates.set(key, before + count * MS_PER_S / DECAY_MS);
    }
  }

  /**
   * @param now - monotonic milliseconds
   * @returns keys and their requests a second, in ascending order of keys
   */
  rates(now: number): (readonly [number, number])[] {
    this.#decay(now);
    return [...this.#rates].sort(([a], [b]) => a - b);
  }

  #decay(now: number): void {
    const ms = now - this.#at;
    if (ms < DECAY_STEP_MS) return;
    this.#at = now;
    const factor = Math.exp(-ms / DECAY_MS);
    for (const [key, rate] of this.#rates) {
      const next = rate * factor;
      if (next < MIN_PER_S) this.#rates.delete(key);
      else this.#rates.set(key, next);
    }
  }
}
