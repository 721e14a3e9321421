const MS_PER_S = 1000;

/**
 * Holds one VM to its share of the request rate that a cold upstream bears.
 * The bound is for all VMs together, so each keeps to an equal part of it.
 */
export class WarmUpPacer {
  #coldUntil = Number.NEGATIVE_INFINITY;
  #lastSentAt = Number.NEGATIVE_INFINITY;

  /**
   * @param until - monotonic milliseconds; an earlier end replaces a later one
   */
  setColdUntil(until: number): void {
    this.#coldUntil = until;
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the upstream is cold
   */
  isCold(now: number): boolean {
    return now < this.#coldUntil;
  }

  /** @param now - monotonic milliseconds of a request sent */
  onSent(now: number): void {
    this.#lastSentAt = now;
  }

  /**
   * @param bound - requests a second that the upstream bears, and the number
   * of VMs that share them
   * @param now - monotonic milliseconds
   * @returns milliseconds until a request may be sent; 0 if now
   */
  msToSend(bound: { perS: number; vms: number }, now: number): number {
    if (!this.isCold(now)) return 0;
    const gapMs = bound.perS > 0
      ? MS_PER_S * Math.max(1, bound.vms) / bound.perS
      : Infinity;
    const at = Math.min(this.#coldUntil, this.#lastSentAt + gapMs);
    return Math.max(0, at - now);
  }
}
