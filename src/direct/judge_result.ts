import type { AttemptResult } from "./attempt_result.ts";

type Answered = Extract<AttemptResult, { kind: "answered" }>;

type Verdict =
  | { kind: "deliver"; text: string; result: Answered }
  /** Nothing left this VM. */
  | { kind: "not_sent"; text: string; full: boolean }
  /** Another upstream has the address, or another owner the key. */
  | { kind: "misdirected"; text: string }
  /** The upstream refused the request and has not run it. */
  | { kind: "rejected"; text: string }
  /**
   * The request may have run. `result` is an answer that can be delivered all
   * the same.
   */
  | { kind: "failed"; text: string; result: Answered | undefined };

const FIRST_SUCCESS = 200;
const FIRST_REDIRECT = 300;
const FIRST_SERVER_ERROR = 500;
/** Statuses that promise a caller that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * @param result - what came of sending a request to an upstream
 * @returns what it means for the request
 */
export function judgeResult(result: AttemptResult): Verdict {
  switch (result.kind) {
    case "not_sent":
      return {
        kind: "not_sent",
        text: `not sent, ${result.reason}`,
        full: result.full,
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
  const success = status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
  if (success && !answer.signed) {
    return { kind: "failed", text: `${text}, unsigned`, result: undefined };
  }
  // The request may have run, so a status that promises otherwise is not
  // passed on.
  if (NOT_RUN_STATUSES.has(status)) {
    return { kind: "failed", text, result: undefined };
  }
  if (status >= FIRST_SERVER_ERROR) {
    return { kind: "failed", text, result: answer.signed ? result : undefined };
  }
  return { kind: "deliver", text, result };
}
