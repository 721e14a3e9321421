import type { AttemptResult } from "./attempt_result.ts";

type NotSent = Extract<AttemptResult, { kind: "not_sent" }>;
type Answered = Extract<AttemptResult, { kind: "answered" }>;

type Verdict =
  | { kind: "deliver"; text: string; result: Answered }
  /** No byte of the request was sent. */
  | { kind: "not_sent"; text: string; cause: NotSent["cause"] }
  /** The address belongs to another upstream, or the key to another owner. */
  | { kind: "misdirected"; text: string }
  /** The upstream rejected the request without running it. */
  | { kind: "rejected"; text: string }
  /**
   * The request may have run. `result` is the failed answer if it may be
   * delivered to the caller when no retry succeeds.
   */
  | { kind: "failed"; text: string; result: Answered | undefined };

const MIN_SUCCESS_STATUS = 200;
const MIN_REDIRECT_STATUS = 300;
const MIN_SERVER_ERROR_STATUS = 500;
/** Statuses by which a caller concludes that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Decides whether the result of an attempt is delivered, may be retried, or
 * leaves the outcome of the request unknown.
 *
 * @param result - result of sending a request to an upstream
 * @returns the verdict, with `text` for log and refusals
 */
export function judgeResult(result: AttemptResult): Verdict {
  switch (result.kind) {
    case "not_sent":
      return {
        kind: "not_sent",
        text: `not sent, ${result.reason}`,
        cause: result.cause,
      };
    case "lost":
      return {
        kind: "failed",
        text: `lost, ${result.reason}`,
        result: undefined,
      };
    case "rejected":
      return result.answer.misdirected
        ? { kind: "misdirected", text: `misdirected, ${result.status}` }
        : { kind: "rejected", text: `rejected, ${result.status}` };
    case "answered":
      return judgeAnswer(result);
  }
}

function judgeAnswer(result: Answered): Verdict {
  const { status, answer } = result;
  const text = `status ${status}`;
  const success = status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
  if (success && !answer.signed) {
    return { kind: "failed", text: `${text}, unsigned`, result: undefined };
  }
  // The request may have run, so a status from which the caller would conclude
  // that it has not is not delivered.
  if (NOT_RUN_STATUSES.has(status)) {
    return { kind: "failed", text, result: undefined };
  }
  if (status >= MIN_SERVER_ERROR_STATUS) {
    return { kind: "failed", text, result: answer.signed ? result : undefined };
  }
  return { kind: "deliver", text, result };
}
