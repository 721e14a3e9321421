const STEPS_PER_WINDOW = 10;

/** Counts events in a sliding window that moves in steps of a tenth of it. */
export class SlidingCounter {
  readonly #stepMs: number;
  readonly #counts = new Array<number>(STEPS_PER_WINDOW + 1).fill(0);
  #step = 0;

  /**
   * @param windowMs - length of the window in milliseconds
   */
  constructor(windowMs: number) {
    this.#stepMs = windowMs / STEPS_PER_WINDOW;
  }

  /**
   * @param now - monotonic milliseconds
   * @param count - number of events at `now`
   */
  add(now: number, count = 1): void {
    this.#advanceTo(now);
    const index = this.#step % this.#counts.length;
    this.#counts[index] = (this.#counts[index] ?? 0) + count;
  }

  /**
   * @param now - monotonic milliseconds
   * @returns events within the window and up to a tenth of its length before it
   */
  total(now: number): number {
    this.#advanceTo(now);
    return this.#counts.reduce((sum, count) => sum + count, 0);
  }

  #advanceTo(now: number): void {
    const step = Math.floor(now / this.#stepMs);
    const elapsedSteps = Math.min(step - this.#step, this.#counts.length);
    for (let i = 1; i <= elapsedSteps; i++) {
      this.#counts[(this.#step + i) % this.#counts.length] = 0;
    }
    if (step > this.#step) this.#step = step;
  }
}
