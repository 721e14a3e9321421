const WEIGHT = 0.2;
/** A failing upstream is tried again as the estimate fades. */
const DECAY_MS = 4000;
const MIN_BACKOFF_MS = 300;
const MAX_BACKOFF_MS = 2400;

/**
 * How often requests to one upstream fail, as this VM has seen it. An upstream
 * may fail part of its requests while its health check is good.
 */
export class FailureEstimate {
  #share = 0;
  #at = 0;
  #backoffMs = 0;
  #unreachableUntil = Number.NEGATIVE_INFINITY;

  /**
   * @param failed - the request was refused, failed or spoiled
   * @param now - monotonic milliseconds
   */
  onResult(failed: boolean, now: number): void {
    const before = this.share(now);
    this.#share = before + WEIGHT * ((failed ? 1 : 0) - before);
    this.#at = now;
    if (!failed) this.#backoffMs = 0;
  }

  /**
   * No connection could be established.
   *
   * @param now - monotonic milliseconds
   */
  onUnreachable(now: number): void {
    this.#backoffMs = Math.min(
      MAX_BACKOFF_MS,
      Math.max(MIN_BACKOFF_MS, this.#backoffMs * 2),
    );
    this.#unreachableUntil = now + this.#backoffMs;
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the last connections failed, and it is too early to try
   * again
   */
  isUnreachable(now: number): boolean {
    return now < this.#unreachableUntil;
  }

  /**
   * @param now - monotonic milliseconds
   * @returns share of requests that fail, from 0 to 1
   */
  share(now: number): number {
    return this.#share * Math.exp(-Math.max(0, now - this.#at) / DECAY_MS);
  }
}
