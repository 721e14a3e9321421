/** Limits how many operations run concurrently. */
export class ConcurrencyLimit {
  #freeSlots: number;
  readonly #queue: (() => void)[] = [];

  /**
   * @param maxConcurrent - operations that may run concurrently
   */
  constructor(maxConcurrent: number) {
    this.#freeSlots = maxConcurrent;
  }

  /**
   * Runs the operation as soon as the limit allows, in the order of calls.
   *
   * @param operation - the operation to run
   * @returns what the operation returned
   */
  async run<T>(operation: () => Promise<T>): Promise<T> {
    if (this.#freeSlots > 0) this.#freeSlots -= 1;
    else await new Promise<void>((resolve) => this.#queue.push(resolve));
    try {
      return await operation();
    } finally {
      const next = this.#queue.shift();
      if (next === undefined) this.#freeSlots += 1;
      else next();
    }
  }
}
