import { assertNever } from "../base/assert_never.ts";
import type { FailurePoint } from "./failure_point.ts";

type RetryDecision = {
  /** `after_hold` waits for a newer assignment row or a short time first. */
  retry: "no" | "at_once" | "after_hold";
  /** Whether the retry is taken from the retry budget. */
  budget: boolean;
  /** Whether the attempt counts towards the sends of one request. */
  send: boolean;
  /** What the caller is told; `cut` ends the connection without an answer. */
  report: "not_run" | "outcome_unknown" | "cut";
};

/**
 * The table of the design page, section 10.
 *
 * @param point - how far the attempt got
 * @param idempotent - whether the entry says that a request may run twice
 * @returns what to do next, and what to report if nothing more is done
 */
export function retryDecision(
  point: FailurePoint,
  idempotent: boolean,
): RetryDecision {
  switch (point) {
    case "no_dispatcher":
    case "not_connected":
    case "refused_by_dispatcher":
    case "queue_full":
      return {
        retry: "after_hold",
        budget: false,
        send: false,
        report: "not_run",
      };
    case "refused_by_upstream":
      return {
        retry: "after_hold",
        budget: true,
        send: true,
        report: "not_run",
      };
    case "nothing_sent":
      return { retry: "at_once", budget: true, send: true, report: "not_run" };
    case "sent_no_answer":
      return {
        retry: idempotent ? "at_once" : "no",
        budget: true,
        send: true,
        report: "outcome_unknown",
      };
    case "partial_answer":
      return { retry: "no", budget: false, send: true, report: "cut" };
    case "deadline_before_send":
    case "refused_for_good":
      return { retry: "no", budget: false, send: false, report: "not_run" };
    case "deadline_after_send":
      return {
        retry: "no",
        budget: false,
        send: true,
        report: "outcome_unknown",
      };
    default:
      return assertNever(point);
  }
}
