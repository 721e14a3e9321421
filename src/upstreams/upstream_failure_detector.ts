import type { Clock } from "../base/clock.ts";

/** Two failures closer than this may be one short interruption. */
const CONNECT_FAILURES_APART_MS = 300;

/** Decides from failures and answers whether an upstream is lost. */
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
   * @returns when to try another connection to decide after a failed one, or
   * undefined if none failed
   */
  get retryConnectAt(): number | undefined {
    return this.#connectFailedAt === undefined || this.#lost
      ? undefined
      : this.#connectFailedAt + CONNECT_FAILURES_APART_MS;
  }

  /** A connection was refused or timed out. */
  connectFailed(): void {
    const now = this.#clock.now();
    this.#connectFailedAt ??= now;
    if (now - this.#connectFailedAt >= CONNECT_FAILURES_APART_MS) {
      this.#lost = true;
    }
  }

  /** A connection was established; a frozen upstream's system does so too. */
  connected(): void {
    this.#connectFailedAt = undefined;
  }

  /** The upstream answered a request or a probe. */
  answered(): void {
    this.#lastAnswerAt = this.#clock.now();
    this.#connectFailedAt = undefined;
    this.#lost = false;
  }

  /**
   * A probe failed.
   *
   * @param startedAt - when the probe was sent
   * @param unansweredSince - when the oldest request without an answer byte was
   * sent, if there is one
   */
  probeFailed(startedAt: number, unansweredSince: number | undefined): void {
    if (
      unansweredSince !== undefined && unansweredSince <= startedAt &&
      this.#lastAnswerAt < startedAt
    ) {
      this.#lost = true;
    }
  }
}
