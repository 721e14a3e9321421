const BUCKETS = 10;

/** Counts events of a sliding window, in steps of a tenth of it. */
export class SlidingCounter {
  readonly #stepMs: number;
  readonly #counts = new Array<number>(BUCKETS + 1).fill(0);
  #step = 0;

  /**
   * @param windowMs - length of the window
   */
  constructor(windowMs: number) {
    this.#stepMs = windowMs / BUCKETS;
  }

  /**
   * @param now - monotonic milliseconds
   * @param count - events that happened now
   */
  add(now: number, count = 1): void {
    this.#moveTo(now);
    const index = this.#step % this.#counts.length;
    this.#counts[index] = (this.#counts[index] ?? 0) + count;
  }

  /**
   * @param now - monotonic milliseconds
   * @returns events within the window, and up to a tenth of it before
   */
  total(now: number): number {
    this.#moveTo(now);
    return this.#counts.reduce((sum, count) => sum + count, 0);
  }

  #moveTo(now: number): void {
    const step = Math.floor(now / this.#stepMs);
    const passed = Math.min(step - this.#step, this.#counts.length);
    for (let i = 1; i <= passed; i++) {
      this.#counts[(this.#step + i) % this.#counts.length] = 0;
    }
    if (step > this.#step) this.#step = step;
  }
}
