import type { Unit } from "../shards/unit.ts";
import type { AbandonedRuns } from "./abandoned_runs.ts";
import { AttemptAbandoned } from "./attempt_abandoned.ts";
import type { GrantRenewer } from "./grant_renewer.ts";
import type { OwnedUnits } from "./owned_units.ts";
import type { InFlightJobs } from "./in_flight_jobs.ts";

type Options = {
  owned: OwnedUnits;
  inFlight: InFlightJobs;
  abandoned: AbandonedRuns;
  /** Undefined if the upstream does not check grants. */
  renewer: GrantRenewer | undefined;
  /** Requests an immediate report to the coordinator: another unit can move. */
  onChange: () => void;
};
type ReleasedUnit = { unit: Unit; readyInMs: number };

/**
 * Tracks the release of units. A unit can move to another upstream once its
 * last request has ended and the upstream holds no grant for it.
 */
export class ReleaseProgress {
  readonly #opts: Options;
  #lastGrantUnits = "";
  #lastReadyUnits = "";

  /**
   * @param opts - units, requests and grants of the dispatch term
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * Marks units whose last request has ended as drained, and aborts requests
   * that run too long after the order to release their unit.
   *
   * @param limits - `lost`: whether the upstream is lost, which aborts the
   * requests at once; `maxRunMs`: how long requests may run after the order
   * @param now - monotonic milliseconds
   * @returns when to check again; `Infinity` if only an event requires it
   */
  check(limits: { lost: boolean; maxRunMs: number }, now: number): number {
    const { owned, inFlight } = this.#opts;
    let drained = false;
    let nextAt = Infinity;
    for (const release of owned.releases()) {
      if (release.drained) continue;
      const jobs = inFlight.withEarlierTerms().filter((job) =>
        job.concerns(release.unit)
      );
      const endsAt = release.orderedAt + limits.maxRunMs;
      if (jobs.length === 0) {
        owned.markDrained(release.unit);
        drained = true;
      } else if (limits.lost || now >= endsAt) {
        for (const job of jobs) {
          job.exchange?.abort(new AttemptAbandoned("handed_over"));
        }
      } else nextAt = Math.min(nextAt, endsAt);
    }
    if (drained) {
      this.renewGrantIfChanged();
      this.notifyIfReadyChanged();
    }
    return nextAt;
  }

  /** Renews the grant if its units have changed. */
  renewGrantIfChanged(): void {
    const { owned, renewer } = this.#opts;
    if (renewer === undefined) return;
    const units = owned.unitsToGrant().join();
    if (units === this.#lastGrantUnits) return;
    this.#lastGrantUnits = units;
    renewer.renewNow();
  }

  /**
   * Requests an immediate report to the coordinator if the units that can move
   * have changed.
   */
  notifyIfReadyChanged(): void {
    const ready = this.#ready().map(({ unit, readyInMs }) =>
      readyInMs === 0 ? `${unit} now` : unit
    ).join();
    if (ready === this.#lastReadyUnits) return;
    this.#lastReadyUnits = ready;
    if (ready !== "") this.#opts.onChange();
  }

  /**
   * Returns the units whose release is complete and marks them as reported;
   * only a newer coordinator can then withdraw their release.
   *
   * @returns the units, and the milliseconds after which the upstream can no
   * longer serve them
   */
  takeReleased(): ReleasedUnit[] {
    const ready = this.#ready();
    for (const { unit } of ready) this.#opts.owned.markReported(unit);
    return ready;
  }

  /**
   * Returns the drained units for which a revocation of the grant was attempted
   * or that need none.
   */
  #ready(): ReleasedUnit[] {
    const { owned, renewer } = this.#opts;
    return owned.releases()
      .filter(({ unit, drained }) =>
        drained && renewer?.revocationAttempted(unit) !== false
      )
      .map(({ unit }) => ({ unit, readyInMs: this.#readyInMs(unit) }));
  }

  #readyInMs(unit: Unit): number {
    const { abandoned, renewer } = this.#opts;
    const grantedMs = renewer?.remainingMs(unit) ?? 0;
    // An upstream that checks grants checks again before a request takes
    // effect, so its abandoned requests need not be waited for. The exception
    // is a key that is pinned out of a shard: its requests carry the shard as
    // unit, which stays granted.
    const runningMs = abandoned.remainingMs((run) =>
      run.unit === unit ? renewer === undefined : `pin:${run.digest}` === unit
    );
    return Math.max(grantedMs, runningMs);
  }
}
