const MICROS_PER_S = 1e6;

/** Accumulates the processor time of this process over the measured calls. */
export class CpuMeter {
  #seconds = 0;

  /**
   * @returns processor time accumulated so far, in seconds
   */
  get seconds(): number {
    return this.#seconds;
  }

  /**
   * Runs a synchronous function and adds its processor time.
   *
   * @param call - function to measure
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
