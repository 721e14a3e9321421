const MS_PER_S = 1000;

/**
 * Limits the rate at which one VM sends requests to a cold upstream. The limit
 * is for all VMs together, so each VM uses an equal share of it.
 */
export class WarmUpRateLimiter {
  #coldUntil = Number.NEGATIVE_INFINITY;
  /** Until when the upstream counts as warming up whatever it reports. */
  #assumedColdUntil = Number.NEGATIVE_INFINITY;
  #coldSince = Number.NEGATIVE_INFINITY;
  #lastSentAt: number | undefined;
  /** Random offset that spreads the VMs' first requests over one interval. */
  readonly #phase = Math.random();

  /**
   * Sets when the upstream becomes warm.
   *
   * @param until - monotonic milliseconds; replaces the previous time, also if
   * it is earlier
   * @param now - monotonic milliseconds
   */
  setColdUntil(until: number, now: number): void {
    this.#onColdUntil(until, now);
    this.#coldUntil = until;
  }

  /**
   * Lets the upstream count as cold although it may not report it. Reports of
   * an earlier time do not shorten this.
   *
   * @param until - monotonic milliseconds
   * @param now - monotonic milliseconds
   */
  assumeColdUntil(until: number, now: number): void {
    this.#onColdUntil(until, now);
    this.#assumedColdUntil = Math.max(this.#assumedColdUntil, until);
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the upstream is cold
   */
  isCold(now: number): boolean {
    return now < this.#until;
  }

  /** @param now - monotonic milliseconds of a request sent */
  onSent(now: number): void {
    this.#lastSentAt = now;
  }

  /**
   * @param limit - requests per second that the upstream accepts while cold,
   * and the number of VMs that share them
   * @param now - monotonic milliseconds
   * @returns milliseconds until the next request may be sent; 0 if it may be
   * sent now
   */
  msToSend(limit: { perS: number; vms: number }, now: number): number {
    if (!this.isCold(now)) return 0;
    const intervalMs = limit.perS > 0
      ? MS_PER_S * Math.max(1, limit.vms) / limit.perS
      : Infinity;
    const nextAt = this.#lastSentAt === undefined
      ? this.#coldSince + intervalMs * this.#phase
      : this.#lastSentAt + intervalMs;
    return Math.max(0, Math.min(this.#until, nextAt) - now);
  }

  get #until(): number {
    return Math.max(this.#coldUntil, this.#assumedColdUntil);
  }

  #onColdUntil(until: number, now: number): void {
    if (this.isCold(now) || until <= now) return;
    this.#coldSince = now;
    this.#lastSentAt = undefined;
  }
}
