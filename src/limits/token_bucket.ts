/** The bucket holds at most the tokens earned in this time. */
const MAX_BURST_MS = 100;
const MS_PER_S = 1000;

/**
 * A token bucket whose rate may change. Tokens earned at the previous rate are
 * kept up to the burst of the new rate.
 */
export class TokenBucket {
  #ratePerS = 0;
  #tokens: number;
  #advancedTo: number;

  /**
   * @param now - monotonic milliseconds
   */
  constructor(now: number) {
    // One token is the smallest burst of any rate.
    this.#tokens = 1;
    this.#advancedTo = now;
  }

  /**
   * @returns tokens per second
   */
  get ratePerS(): number {
    return this.#ratePerS;
  }

  /**
   * Earns tokens at the current rate up to a time.
   *
   * @param until - monotonic milliseconds; times before the last `earn` or `skip`
   * earn none
   */
  earn(until: number): void {
    const ms = until - this.#advancedTo;
    if (ms <= 0) return;
    this.#advancedTo = until;
    this.#tokens = Math.min(
      this.#capacity(),
      this.#tokens + ms * this.#ratePerS / MS_PER_S,
    );
  }

  /**
   * Advances the time without earning tokens.
   *
   * @param until - monotonic milliseconds
   */
  skip(until: number): void {
    this.#advancedTo = Math.max(this.#advancedTo, until);
  }

  /**
   * @param ratePerS - tokens per second, from the last `earn` or `skip` on
   */
  setRate(ratePerS: number): void {
    this.#ratePerS = ratePerS;
    this.#tokens = Math.min(this.#capacity(), this.#tokens);
  }

  /**
   * Takes a token if one is available.
   *
   * @returns whether a token was taken
   */
  tryTake(): boolean {
    // Rounding errors can leave a sum of fractions just below one.
    if (this.#tokens < 1 - 1e-9) return false;
    this.#tokens = Math.max(0, this.#tokens - 1);
    return true;
  }

  /**
   * @returns milliseconds until a token is available; 0 if one is
   */
  msUntilToken(): number {
    if (this.#tokens >= 1 - 1e-9) return 0;
    return (1 - this.#tokens) * MS_PER_S / this.#ratePerS;
  }

  #capacity(): number {
    return Math.max(1, this.#ratePerS * MAX_BURST_MS / MS_PER_S);
  }
}
