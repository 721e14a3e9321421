/** A mean over the reports of about the last half second. */
const REPORT_WEIGHT = 0.05;
/** Without any report, nothing is known after some seconds. */
const DECAY_MS = 4000;

/**
 * How busy the upstreams of one service are on average, as this VM has heard
 * from any of them.
 */
export class MeanLoad {
  #perSlot = 0;
  #at = 0;

  /**
   * @param perSlot - requests of other VMs that run or wait at one upstream,
   * for each of its slots
   * @param now - monotonic milliseconds
   */
  onReport(perSlot: number, now: number): void {
    const before = this.perSlot(now);
    this.#perSlot = before + REPORT_WEIGHT * (perSlot - before);
    this.#at = now;
  }

  /**
   * @param now - monotonic milliseconds
   * @returns requests of other VMs for each slot
   */
  perSlot(now: number): number {
    const age = Math.max(0, now - this.#at);
    return this.#perSlot * Math.exp(-age / DECAY_MS);
  }
}
