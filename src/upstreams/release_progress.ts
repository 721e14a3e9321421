import type { Unit } from "../shards/unit.ts";
import type { AbandonedRuns } from "./abandoned_runs.ts";
import { AttemptAbandoned } from "./attempt_abandoned.ts";
import type { GrantRenewer } from "./grant_renewer.ts";
import type { OwnedUnits } from "./owned_units.ts";
import type { InFlightJobs } from "./in_flight_jobs.ts";

type Options = {
  owned: OwnedUnits;
  running: InFlightJobs;
  abandoned: AbandonedRuns;
  /** Undefined if the upstream does not check grants. */
  renewer: GrantRenewer | undefined;
  /** The coordinator should hear at once that another unit can move. */
  onChange: () => void;
};
type Ready = { unit: Unit; readyInMs: number };

/**
 * How far the release of units has come: their last request must have ended,
 * and the upstream must hold no grant for them.
 */
export class ReleaseProgress {
  readonly #opts: Options;
  #granted = "";
  #announced = "";

  /**
   * @param opts - the term's units, requests and grants
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * Marks releases whose last request has ended, and cuts what takes too long.
   *
   * @param limits - `lost` whether the upstream is lost; `maxRunMs` longest run
   * of a request after the order to release
   * @param now - monotonic milliseconds
   * @returns when to check again; Infinity for not before something changes
   */
  check(limits: { lost: boolean; maxRunMs: number }, now: number): number {
    const { owned, running } = this.#opts;
    let drained = false;
    let nextAt = Infinity;
    for (const release of owned.releases()) {
      if (release.drained) continue;
      const jobs = running.atUpstream().filter((job) =>
        job.concerns(release.unit)
      );
      const endsAt = release.since + limits.maxRunMs;
      if (jobs.length === 0) {
        owned.markDrained(release.unit);
        drained = true;
      } else if (limits.lost || now >= endsAt) {
        for (const job of jobs) {
          job.exchange?.abandon(new AttemptAbandoned("handed_over"));
        }
      } else nextAt = Math.min(nextAt, endsAt);
    }
    if (drained) {
      this.regrant();
      this.announce();
    }
    return nextAt;
  }

  /** Has the grant renewed if its units have changed. */
  regrant(): void {
    const { owned, renewer } = this.#opts;
    if (renewer === undefined) return;
    const units = owned.granted().join();
    if (units === this.#granted) return;
    this.#granted = units;
    renewer.changed();
  }

  /** Tells the coordinator at once when another unit can move. */
  announce(): void {
    const ready = this.#ready().map(({ unit, readyInMs }) =>
      readyInMs === 0 ? `${unit} now` : unit
    ).join();
    if (ready === this.#announced) return;
    this.#announced = ready;
    if (ready !== "") this.#opts.onChange();
  }

  /**
   * Names the units whose release is complete; from now on only a newer
   * coordinator gives them back.
   *
   * @returns the units, and the milliseconds until nothing at the upstream can
   * serve them any more
   */
  takeReleased(): Ready[] {
    const ready = this.#ready();
    for (const { unit } of ready) this.#opts.owned.markReported(unit);
    return ready;
  }

  /** Units that are drained and that the upstream was told to serve no more. */
  #ready(): Ready[] {
    const { owned, renewer } = this.#opts;
    return owned.releases()
      .filter(({ unit, drained }) =>
        drained && renewer?.triedWithout(unit) !== false
      )
      .map(({ unit }) => ({ unit, readyInMs: this.#readyInMs(unit) }));
  }

  #readyInMs(unit: Unit): number {
    const { abandoned, renewer } = this.#opts;
    const granted = renewer?.remainingMs(unit) ?? 0;
    // An upstream that checks grants checks again before a request takes
    // effect. That does not help with a key that leaves a shard, because the
    // requests name the shard, which stays granted.
    const running = abandoned.remainingMs((run) =>
      run.unit === unit ? renewer === undefined : `pin:${run.digest}` === unit
    );
    return Math.max(granted, running);
  }
}
