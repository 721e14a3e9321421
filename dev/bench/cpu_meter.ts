const MICROS_PER_S = 1e6;

/** Adds up the processor time of this process over chosen parts of a run. */
export class CpuMeter {
  #seconds = 0;

  /**
   * @returns seconds added up so far
   */
  get seconds(): number {
    return this.#seconds;
  }

  /**
   * Measures a synchronous call.
   *
   * @param call - what to measure
   * @returns its result
   */
  add<T>(call: () => T): T {
    const before = process.cpuUsage();
    try {
      return call();
    } finally {
      const { user, system } = process.cpuUsage(before);
      this.#seconds += (user + system) / MICROS_PER_S;
    }
  }
}
