import type { DispatchOutcome } from "./dispatch_outcome.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import { refused } from "./refused.ts";

/** The coordinator moves the units of a draining upstream meanwhile. */
const DRAINING_ACCEPT_MS = 1000;

/**
 * @param req - a request that has just arrived
 * @param facts - whether the dispatcher accepts requests, whether the upstream
 * is lost, since when it drains, and whether the caller has left
 * @param now - monotonic milliseconds
 * @returns the refusal of a request that cannot be served, or undefined
 */
export function refuseAtOnce(
  req: Pick<DispatchRequest, "deadlineAt">,
  facts: {
    accepting: boolean;
    lost: boolean;
    drainingSince: number | undefined;
    callerDisconnected: boolean;
  },
  now: number,
): DispatchOutcome | undefined {
  if (!facts.accepting) {
    return refused(
      "not_dispatcher",
      "not_run",
      "this router is not the dispatcher of the upstream",
    );
  }
  if (facts.callerDisconnected) {
    return refused("upstream_unavailable", "not_run", "the caller went away");
  }
  if (req.deadlineAt <= now) {
    return refused(
      "deadline_exceeded",
      "not_run",
      "the time of the request is over",
    );
  }
  if (facts.lost) {
    return refused(
      "upstream_unavailable",
      "not_run",
      "the upstream does not answer",
    );
  }
  const since = facts.drainingSince;
  return since !== undefined && now - since >= DRAINING_ACCEPT_MS
    ? refused("draining", "not_run", "the upstream is draining")
    : undefined;
}
