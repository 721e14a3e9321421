import { assertNever } from "../base/assert_never.ts";
import { HOP_HEADER } from "../links/hop_header.ts";
import { AttemptAbandoned } from "./attempt_abandoned.ts";
import type { DispatchOutcome } from "./dispatch_outcome.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { refused } from "./refused.ts";
import type { UpstreamExchange } from "./upstream_exchange.ts";

type Head = Awaited<UpstreamExchange["head"]>;

const FIRST_ERROR_STATUS = 400;

/**
 * Maps the end of an attempt to the result of `dispatch`; see the design page,
 * section 10.
 *
 * @param head - head of the upstream's answer, or the failure
 * @param waitMs - estimated wait for the upstream
 * @returns the outcome of the attempt
 */
export function attemptOutcome(head: Head, waitMs: number): DispatchOutcome {
  switch (head.kind) {
    case "not_sent":
      return notSent(head.err);
    case "unanswered":
      return unanswered(head.err);
    case "answered": {
      const reason = head.headers[HOP_HEADER.notRun];
      if (reason !== undefined && head.status >= FIRST_ERROR_STATUS) {
        return refusedByUpstream(String(reason));
      }
      return {
        kind: "response",
        status: head.status,
        headers: endToEndHeaders(head.headers),
        body: head.body,
        waitMs,
      };
    }
    default:
      return assertNever(head);
  }
}

function notSent(err: Error): DispatchOutcome {
  const reason = err instanceof AttemptAbandoned ? err.reason : undefined;
  switch (reason) {
    case "deadline":
    case "run_limit":
      return refused(
        "deadline_exceeded",
        "not_run",
        "the time of the request ended before it was sent",
      );
    case "not_owner":
    case "handed_over":
      return refused(
        "not_owner",
        "not_run",
        "the key moved before the request was sent",
      );
    case "not_dispatcher":
      return refused(
        "not_dispatcher",
        "not_run",
        "the tenure ended before the request was sent",
      );
    case "stopped":
      return refused("draining", "not_run", "the router stops");
    case "cancelled":
    case "silent":
    case undefined:
      return refused(
        "upstream_unavailable",
        "not_run",
        "no connection to the upstream",
      );
    default:
      return assertNever(reason);
  }
}

function unanswered(err: Error): DispatchOutcome {
  const reason = err instanceof AttemptAbandoned ? err.reason : undefined;
  return reason === "deadline" || reason === "run_limit"
    ? refused(
      "deadline_exceeded",
      "outcome_unknown",
      "the upstream did not answer in time",
    )
    : refused(
      "upstream_failed",
      "outcome_unknown",
      "the upstream did not answer",
      { reason: reason ?? "connection" },
    );
}

function refusedByUpstream(reason: string): DispatchOutcome {
  switch (reason) {
    case "draining":
      return refused("draining", "not_run", "the upstream is draining");
    case "grant":
    case "shed":
      return refused(
        "upstream_unavailable",
        "not_run",
        "the upstream refused the request",
        { reason },
      );
    default:
      return refused(
        "upstream_unavailable",
        "not_run",
        "the upstream refused the request",
      );
  }
}
