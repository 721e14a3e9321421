import { assertNever } from "../base/assert_never.ts";
import type { FailurePoint } from "./failure_point.ts";

type RetryDecision = {
  /**
   * `at_once`: without waiting; `after_hold`: after a wait in the hold queue,
   * see `HoldQueue.wait`.
   */
  retry: "no" | "at_once" | "after_hold";
  /** Whether the retry consumes retry budget. */
  usesBudget: boolean;
  /** Whether the attempt counts toward the maximum of sends per request. */
  countsAsSend: boolean;
  /**
   * What the caller receives if there is no retry; `truncated`: the
   * connection is closed before the end of the response.
   */
  report: "not_run" | "outcome_unknown" | "truncated";
};

/**
 * Decides whether to retry a failed attempt, by the table in section 10 of the
 * design page.
 *
 * @param point - how far the attempt got
 * @param idempotent - whether the entry allows a request to run twice
 * @returns whether and when to retry, and what to report if there is no retry
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
        usesBudget: false,
        countsAsSend: false,
        report: "not_run",
      };
    case "refused_by_upstream":
      return {
        retry: "after_hold",
        usesBudget: true,
        countsAsSend: true,
        report: "not_run",
      };
    case "nothing_sent":
      return {
        retry: "at_once",
        usesBudget: true,
        countsAsSend: true,
        report: "not_run",
      };
    case "sent_no_answer":
      return {
        retry: idempotent ? "at_once" : "no",
        usesBudget: true,
        countsAsSend: true,
        report: "outcome_unknown",
      };
    case "partial_answer":
      return {
        retry: "no",
        usesBudget: false,
        countsAsSend: true,
        report: "truncated",
      };
    case "deadline_before_send":
    case "refused_for_good":
      return {
        retry: "no",
        usesBudget: false,
        countsAsSend: false,
        report: "not_run",
      };
    case "deadline_after_send":
      return {
        retry: "no",
        usesBudget: false,
        countsAsSend: true,
        report: "outcome_unknown",
      };
    default:
      return assertNever(point);
  }
}
