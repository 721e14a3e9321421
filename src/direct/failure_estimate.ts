const FAILURE_EMA_WEIGHT = 0.2;
/**
 * Time constant with which the estimate decays, so that a failing upstream is
 * tried again.
 */
const FAILURE_TIME_CONSTANT_MS = 4000;
const MIN_UNREACHABLE_BACKOFF_MS = 300;
const MAX_UNREACHABLE_BACKOFF_MS = 2400;

/**
 * Estimates the fraction of requests to one upstream that fail, from the
 * requests of this VM. An upstream may fail some of its requests while its
 * health check succeeds.
 */
export class FailureEstimate {
  #fraction = 0;
  #updatedAt = 0;
  #backoffMs = 0;
  #unreachableUntil = Number.NEGATIVE_INFINITY;

  /**
   * @param failed - whether the request was rejected, failed or got no usable
   * answer
   * @param now - monotonic milliseconds
   */
  onResult(failed: boolean, now: number): void {
    const before = this.fraction(now);
    this.#fraction = before + FAILURE_EMA_WEIGHT * ((failed ? 1 : 0) - before);
    this.#updatedAt = now;
    if (!failed) this.#backoffMs = 0;
  }

  /**
   * Records that no connection could be established, or that another upstream
   * answered at the address. The upstream then counts as unreachable for a
   * backoff. It doubles with each further call up to
   * `MAX_UNREACHABLE_BACKOFF_MS`, and starts again at the minimum after a
   * request succeeds.
   *
   * @param now - monotonic milliseconds
   */
  onUnreachable(now: number): void {
    this.#backoffMs = Math.min(
      MAX_UNREACHABLE_BACKOFF_MS,
      Math.max(MIN_UNREACHABLE_BACKOFF_MS, this.#backoffMs * 2),
    );
    this.#unreachableUntil = now + this.#backoffMs;
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the backoff has not yet elapsed
   */
  isUnreachable(now: number): boolean {
    return now < this.#unreachableUntil;
  }

  /**
   * @param now - monotonic milliseconds
   * @returns fraction of requests that fail, from 0 to 1
   */
  fraction(now: number): number {
    return this.#fraction *
      Math.exp(-Math.max(0, now - this.#updatedAt) / FAILURE_TIME_CONSTANT_MS);
  }
}
