const MS_PER_S = 1000;

/**
 * Holds one VM to its share of the request rate that a cold upstream bears.
 * The bound is for all VMs together, so each keeps to an equal part of it.
 */
export class WarmUpRateLimiter {
  #coldUntil = Number.NEGATIVE_INFINITY;
  #coldSince = Number.NEGATIVE_INFINITY;
  #lastSentAt: number | undefined;
  /** Spreads the first requests of the VMs over a gap. */
  readonly #phase = Math.random();

  /**
   * @param until - monotonic milliseconds; an earlier end replaces a later one
   * @param now - monotonic milliseconds
   */
  setColdUntil(until: number, now: number): void {
    if (!this.isCold(now) && until > now) {
      this.#coldSince = now;
      this.#lastSentAt = undefined;
    }
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
    const next = this.#lastSentAt === undefined
      ? this.#coldSince + gapMs * this.#phase
      : this.#lastSentAt + gapMs;
    return Math.max(0, Math.min(this.#coldUntil, next) - now);
  }
}
