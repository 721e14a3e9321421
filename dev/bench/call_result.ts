/** Result of one request that the bench or a test sent. */
export type CallResult = {
  id: string;
  /** Base URL of the router that was called. */
  url: string;
  entry: string;
  key: string;
  /** Monotonic milliseconds, as `endedAt`. */
  startedAt: number;
  endedAt: number;
  /** HTTP status, 0 without a complete response. */
  status: number;
  /** Refusal code, or the error of a call without a complete response. */
  code: string;
  /** `not_run`, `outcome_unknown`, or empty for a response of an upstream. */
  outcome: string;
  /** The response belongs to another request or is incomplete. */
  mismatched: boolean;
  /** Id of the upstream that responded, empty if unknown. */
  servedBy: string;
  /**
   * Service time in ms that the upstream stand-in drew at random. It contains
   * the fault `slowFactor` once; the request held its slot for this time
   * multiplied by `slowFactor` again.
   */
  serviceMs: number;
};
