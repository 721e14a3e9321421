import type { Clock } from "../base/clock.ts";

/** Two failures within a shorter time may be one short interruption. */
const MIN_CONNECT_FAILURE_SPACING_MS = 300;

/**
 * Decides whether an upstream is lost: after two failed connection attempts at
 * least 300 ms apart, or after a failed health check while a request is
 * unanswered. Any answer ends the loss.
 */
export class UpstreamFailureDetector {
  readonly #clock: Clock;
  #connectFailedAt: number | undefined;
  #lastAnswerAt = -Infinity;
  #lost = false;

  /**
   * @param clock - time of the events
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @returns whether the upstream is lost
   */
  get lost(): boolean {
    return this.#lost;
  }

  /**
   * @returns when the upstream last answered, or `-Infinity`
   */
  get lastAnswerAt(): number {
    return this.#lastAnswerAt;
  }

  /**
   * @returns when to try the connection whose failure would make the upstream
   * lost, or undefined if none failed or the upstream is lost already
   */
  get retryConnectAt(): number | undefined {
    return this.#connectFailedAt === undefined || this.#lost
      ? undefined
      : this.#connectFailedAt + MIN_CONNECT_FAILURE_SPACING_MS;
  }

  /** Records that a connection attempt was refused or timed out. */
  onConnectFailed(): void {
    const now = this.#clock.now();
    this.#connectFailedAt ??= now;
    if (now - this.#connectFailedAt >= MIN_CONNECT_FAILURE_SPACING_MS) {
      this.#lost = true;
    }
  }

  /**
   * Records that a connection was established. That does not end a loss: the
   * operating system accepts connections for a frozen upstream too.
   */
  onConnected(): void {
    this.#connectFailedAt = undefined;
  }

  /** Records that the upstream answered a request or a health check. */
  onAnswer(): void {
    this.#lastAnswerAt = this.#clock.now();
    this.#connectFailedAt = undefined;
    this.#lost = false;
  }

  /**
   * Records that a health check failed.
   *
   * @param checkSentAt - when the health check was sent
   * @param unansweredSince - when the oldest request without an answer byte was
   * sent, or undefined if there is none
   */
  onHealthCheckFailed(
    checkSentAt: number,
    unansweredSince: number | undefined,
  ): void {
    if (
      unansweredSince !== undefined && unansweredSince <= checkSentAt &&
      this.#lastAnswerAt < checkSentAt
    ) {
      this.#lost = true;
    }
  }
}
