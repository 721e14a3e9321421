import type { Clock } from "../base/clock.ts";
import type { Unit } from "../shards/unit.ts";

type Run = {
  unit: Unit | undefined;
  digest: string | undefined;
  /** End of the time that the upstream was given. */
  until: number;
};

/**
 * Requests that were sent and given up without a complete answer. The upstream
 * may run them until the deadline that it was given.
 */
export class AbandonedRuns {
  readonly #clock: Clock;
  #runs: Run[] = [];

  /**
   * @param clock - time of the deadlines
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param run - a request that may still run
   */
  add(run: Run): void {
    this.#runs = [...this.#present(), run];
  }

  /**
   * @returns how many requests may still run
   */
  count(): number {
    return this.#present().length;
  }

  /**
   * @param matches - which requests to consider
   * @returns milliseconds after which none of them can run any more
   */
  remainingMs(matches: (run: Run) => boolean): number {
    const ends = this.#present().filter(matches).map((run) => run.until);
    return Math.max(0, ...ends.map((until) => until - this.#clock.now()));
  }

  /**
   * @returns when the first of them can no longer run, or `Infinity`
   */
  nextEndAt(): number {
    return Math.min(...this.#present().map((run) => run.until));
  }

  #present(): Run[] {
    const now = this.#clock.now();
    return this.#runs.filter((run) => run.until > now);
  }
}
