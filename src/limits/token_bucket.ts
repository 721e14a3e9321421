const BURST_MS = 100;
const MS_PER_S = 1000;

/**
 * A bucket for a rate that changes: tokens that were earned at one rate are
 * kept at the next, but never more than the next rate's burst.
 */
export class TokenBucket {
  #ratePerS = 0;
  #tokens: number;
  #at: number;

  /**
   * @param now - monotonic milliseconds
   */
  constructor(now: number) {
    // One token is the least burst of any share.
    this.#tokens = 1;
    this.#at = now;
  }

  /**
   * @returns tokens a second
   */
  get ratePerS(): number {
    return this.#ratePerS;
  }

  /**
   * Earns tokens at the present rate up to a time.
   *
   * @param until - monotonic milliseconds; earlier times than before earn none
   */
  earn(until: number): void {
    const ms = until - this.#at;
    if (ms <= 0) return;
    this.#at = until;
    this.#tokens = Math.min(
      this.#burst(),
      this.#tokens + ms * this.#ratePerS / MS_PER_S,
    );
  }

  /**
   * Lets time pass without earning.
   *
   * @param until - monotonic milliseconds
   */
  skip(until: number): void {
    this.#at = Math.max(this.#at, until);
  }

  /**
   * @param ratePerS - tokens a second from the last `earn` or `skip` on
   */
  setRate(ratePerS: number): void {
    this.#ratePerS = ratePerS;
    this.#tokens = Math.min(this.#burst(), this.#tokens);
  }

  /**
   * @returns whether there was a token; it is taken
   */
  take(): boolean {
    // Sums of fractions can end just short of one.
    if (this.#tokens < 1 - 1e-9) return false;
    this.#tokens = Math.max(0, this.#tokens - 1);
    return true;
  }

  /**
   * @returns milliseconds until a token is there; 0 if one is
   */
  msToToken(): number {
    if (this.#tokens >= 1 - 1e-9) return 0;
    return (1 - this.#tokens) * MS_PER_S / this.#ratePerS;
  }

  #burst(): number {
    return Math.max(1, this.#ratePerS * BURST_MS / MS_PER_S);
  }
}
