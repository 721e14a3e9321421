import type { Clock } from "../base/clock.ts";
import type { AbandonedRuns } from "./abandoned_runs.ts";
import type { InFlightJobs } from "./in_flight_jobs.ts";
import type { UpstreamCondition } from "./upstream_condition.ts";

type Options = {
  running: InFlightJobs;
  abandoned: AbandonedRuns;
  condition: Pick<UpstreamCondition, "estimate" | "warmUp">;
  /** Requests that may run at a time. */
  slots: () => number;
  clock: Clock;
};

/** When the next request may be sent to the upstream. */
export class StartLimit {
  readonly #opts: Options;

  /**
   * @param opts - what runs at the upstream, and whether it is cold
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * @returns the present if a request may be sent now; otherwise when that may
   * change by the passing of time alone, Infinity if it does not
   */
  nextStartAt(): number {
    const { running, abandoned, condition, slots, clock } = this.#opts;
    const { warmUp, estimate } = condition;
    const median = estimate.median();
    const now = clock.now();
    const count = running.atUpstream().length;
    if (count >= slots()) return Infinity;
    if (!warmUp.isCold(median)) return now;
    // A request that was given up may still use a cold upstream.
    if (count + abandoned.count() >= warmUp.concurrency(median)) {
      return abandoned.nextEndAt();
    }
    return Math.max(now, warmUp.nextStartAt(median));
  }
}
