import type { DispatchOutcome } from "./dispatch_outcome.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import { refused } from "./refused.ts";

/**
 * A draining upstream receives requests for this long, while the coordinator
 * moves its units.
 */
const DRAINING_GRACE_MS = 1000;

/**
 * Checks whether a request must be refused before it is queued.
 *
 * @param req - a request that has just arrived
 * @param state - whether the dispatcher accepts requests, whether the upstream
 * is lost, since when it is draining, and whether the caller has disconnected
 * @param now - monotonic milliseconds
 * @returns the refusal, or undefined if the request can be queued
 */
export function immediateRefusal(
  req: Pick<DispatchRequest, "deadlineAt">,
  state: {
    accepting: boolean;
    lost: boolean;
    drainingSince: number | undefined;
    callerDisconnected: boolean;
  },
  now: number,
): DispatchOutcome | undefined {
  if (!state.accepting) {
    return refused(
      "not_dispatcher",
      "not_run",
      "this router is not the dispatcher of the upstream",
    );
  }
  if (state.callerDisconnected) {
    return refused(
      "upstream_unavailable",
      "not_run",
      "the caller went away",
    );
  }
  if (req.deadlineAt <= now) {
    return refused(
      "deadline_exceeded",
      "not_run",
      "the time of the request is over",
    );
  }
  if (state.lost) {
    return refused(
      "upstream_unavailable",
      "not_run",
      "the upstream does not answer",
    );
  }
  const since = state.drainingSince;
  return since !== undefined && now - since >= DRAINING_GRACE_MS
    ? refused("draining", "not_run", "the upstream is draining")
    : undefined;
}
