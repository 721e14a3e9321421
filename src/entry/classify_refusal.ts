import { assertNever } from "../base/assert_never.ts";
import type { Refusal } from "../base/refusal.ts";
import { FailurePoint } from "./failure_point.ts";

/**
 * Determines how far a refused attempt got.
 *
 * @param refusal - the refusal that ended the attempt; its sender may name the
 * failure point as `data.failurePoint`
 * @returns the failure point; a refusal with an unknown outcome never yields
 * one that guarantees `not_run`
 */
export function classifyRefusal(refusal: Refusal): FailurePoint {
  if (refusal.outcome === "outcome_unknown") {
    return refusal.code === "deadline_exceeded"
      ? "deadline_after_send"
      : "sent_no_answer";
  }
  const named = FailurePoint.safeParse(refusal.data?.failurePoint);
  if (named.success) return named.data;
  switch (refusal.code) {
    case "not_owner":
    case "not_dispatcher":
    case "draining":
    case "router_not_current":
      return "refused_by_dispatcher";
    case "queue_full":
      return "queue_full";
    case "upstream_unavailable":
    case "upstream_failed":
      return "not_connected";
    case "deadline_exceeded":
      return "deadline_before_send";
    case "unknown_entry":
    case "unknown_credential":
    case "missing_key":
    case "bad_key":
    case "body_too_large":
    case "slow_sender":
    case "headers_too_large":
    case "wrong_region":
    case "limit_exceeded":
    case "overloaded":
      return "refused_for_good";
    default:
      return assertNever(refusal.code);
  }
}
