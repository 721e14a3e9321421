type Reason =
  /** The caller disconnected. */
  | "cancelled"
  /** The request's deadline has passed. */
  | "deadline"
  /** The request ran at the upstream for longer than allowed. */
  | "run_limit"
  /**
   * No answer byte arrived for too long while the upstream answered on other
   * connections, or the upstream is lost.
   */
  | "silent"
  /** The unit or the dispatch term is being handed over. */
  | "handed_over"
  /** The dispatch lease or term has ended. */
  | "not_dispatcher"
  /** The upstream no longer owns the key. */
  | "not_owner"
  /** The router stops. */
  | "stopped";

/**
 * Error for an attempt that the dispatcher itself aborted. The `reason` is also
 * sent in the `data` of a refusal.
 */
export class AttemptAbandoned extends Error {
  readonly reason: Reason;

  /**
   * @param reason - why the attempt was aborted
   */
  constructor(reason: Reason) {
    super(`attempt aborted: ${reason}`);
    this.reason = reason;
  }
}
