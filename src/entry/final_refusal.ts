import type { Refusal } from "../base/refusal.ts";

const CALLER_MESSAGE: Partial<Record<Refusal["code"], string>> = {
  upstream_unavailable: "no upstream can take the request now",
  upstream_failed: "the upstream did not answer; the request may have run",
  queue_full: "the upstream's queue is full",
  draining: "the router is stopping",
  deadline_exceeded: "the request's time has passed",
};

function publicCode(refusal: Refusal, mayHaveRun: boolean): Refusal["code"] {
  // The last attempt's code would guarantee that the request did not run.
  if (mayHaveRun && refusal.code !== "deadline_exceeded") {
    return "upstream_failed";
  }
  // Codes that only routers use among themselves are not shown to callers.
  return refusal.code === "not_owner" || refusal.code === "not_dispatcher"
    ? "upstream_unavailable"
    : refusal.code;
}

/**
 * Converts the refusal of the last attempt into the refusal for the caller. The
 * message of a code that peers use is replaced and the data is omitted, because
 * they may name peers.
 *
 * @param refusal - the refusal of the last attempt
 * @param opts - whether any attempt may have run, even if the last one did not,
 * and whether the deadline has passed
 * @returns the refusal for the caller
 */
export function finalRefusal(
  refusal: Refusal,
  opts: { mayHaveRun: boolean; deadlinePassed: boolean },
): Refusal {
  const mayHaveRun = opts.mayHaveRun || refusal.outcome === "outcome_unknown";
  const code = opts.deadlinePassed
    ? "deadline_exceeded"
    : publicCode(refusal, mayHaveRun);
  return {
    code,
    outcome: mayHaveRun ? "outcome_unknown" : "not_run",
    message: CALLER_MESSAGE[code] ?? refusal.message,
  };
}
