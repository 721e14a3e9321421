/** What one request of the load generator came to. */
export type CallResult = {
  id: string;
  /** Base URL of the router that was called. */
  url: string;
  entry: string;
  key: string;
  /** Milliseconds of the bench's clock. */
  startedAt: number;
  endedAt: number;
  /** 0 when there was no whole answer. */
  status: number;
  /** Refusal code, or the error of a call without an answer. */
  code: string;
  /** `not_run`, `outcome_unknown`, or empty for an upstream's answer. */
  outcome: string;
  /** The answer belongs to another request or is not whole. */
  mismatched: boolean;
  servedBy: string;
  /** The service's own time as the upstream stand-in drew it. */
  serviceMs: number;
};
