import type { Refusal } from "../base/refusal.ts";

const MESSAGE: Partial<Record<Refusal["code"], string>> = {
  upstream_unavailable: "no upstream can take the request now",
  upstream_failed: "the upstream did not answer; the request may have run",
  queue_full: "the upstream's queue is full",
  draining: "the router is stopping",
  deadline_exceeded: "the request's time has passed",
};

function publicCode(refusal: Refusal, mayHaveRun: boolean): Refusal["code"] {
  // The codes of the last attempt promise that it did not run.
  if (mayHaveRun && refusal.code !== "deadline_exceeded") {
    return "upstream_failed";
  }
  // Codes between routers say nothing to a caller.
  return refusal.code === "not_owner" || refusal.code === "not_dispatcher"
    ? "upstream_unavailable"
    : refusal.code;
}

/**
 * Turns the refusal of the last attempt into the answer for the caller. Its
 * message and data may name peers and are replaced.
 *
 * @param refusal - the refusal of the last attempt
 * @param opts - whether any attempt may have run, which an earlier attempt
 * decides even if the last one did not run, and whether the deadline has passed
 * @returns the refusal for the caller
 */
export function finalRefusal(
  refusal: Refusal,
  opts: { mayHaveRun: boolean; late: boolean },
): Refusal {
  const mayHaveRun = opts.mayHaveRun || refusal.outcome === "outcome_unknown";
  const code = opts.late
    ? "deadline_exceeded"
    : publicCode(refusal, mayHaveRun);
  return {
    code,
    outcome: mayHaveRun ? "outcome_unknown" : "not_run",
    message: MESSAGE[code] ?? refusal.message,
  };
}
