import type { Clock } from "../base/clock.ts";
import type { AbandonedRuns } from "./abandoned_runs.ts";
import type { InFlightJobs } from "./in_flight_jobs.ts";
import type { UpstreamCondition } from "./upstream_condition.ts";

type Options = {
  inFlight: InFlightJobs;
  abandoned: AbandonedRuns;
  condition: Pick<UpstreamCondition, "estimate" | "warmUp">;
  /** Number of requests that may run concurrently. */
  slots: () => number;
  clock: Clock;
};

/** Decides when the next request may be sent to the upstream. */
export class StartLimit {
  readonly #opts: Options;

  /**
   * @param opts - requests at the upstream, its condition and its slots
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * @returns the current time if a request may be sent now; otherwise the time
   * from which one may be sent if no request ends before, or `Infinity`
   */
  nextStartAt(): number {
    const { inFlight, abandoned, condition, slots, clock } = this.#opts;
    const { warmUp, estimate } = condition;
    const median = estimate.median();
    const now = clock.now();
    const count = inFlight.withEarlierTerms().length;
    if (count >= slots()) return Infinity;
    if (!warmUp.isCold(median)) return now;
    // A cold upstream may still run requests that the router abandoned.
    if (count + abandoned.count() >= warmUp.concurrency(median)) {
      return abandoned.nextEndAt();
    }
    return Math.max(now, warmUp.nextStartAt(median));
  }
}
