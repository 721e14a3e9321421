type Reason =
  /** The caller went away. */
  | "cancelled"
  /** The request's time is over. */
  | "deadline"
  /** The longest run of a request at the upstream is over. */
  | "run_limit"
  /** The connection is silent while the upstream answers elsewhere. */
  | "silent"
  /** The unit or the term was to be handed over. */
  | "handed_over"
  /** The term has ended. */
  | "not_dispatcher"
  /** The key is no longer served here. */
  | "not_owner"
  /** The router stops. */
  | "stopped";

/** Why the dispatcher itself gave an attempt up. */
export class AttemptAbandoned extends Error {
  readonly reason: Reason;

  /**
   * @param reason - why
   */
  constructor(reason: Reason) {
    super(`attempt given up: ${reason}`);
    this.reason = reason;
  }
}
