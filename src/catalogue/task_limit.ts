/** Bounds how many operations run at a time. */
export class TaskLimit {
  #free: number;
  readonly #waiting: (() => void)[] = [];

  /**
   * @param limit - operations that may run at a time
   */
  constructor(limit: number) {
    this.#free = limit;
  }

  /**
   * Waits for its turn, in the order of calls, and runs the operation.
   *
   * @param operation - what to run
   * @returns what the operation returned
   */
  async run<T>(operation: () => Promise<T>): Promise<T> {
    if (this.#free > 0) this.#free -= 1;
    else await new Promise<void>((resolve) => this.#waiting.push(resolve));
    try {
      return await operation();
    } finally {
      const next = this.#waiting.shift();
      if (next === undefined) this.#free += 1;
      else next();
    }
  }
}
