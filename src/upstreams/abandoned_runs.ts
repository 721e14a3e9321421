import type { Clock } from "../base/clock.ts";
import type { Unit } from "../shards/unit.ts";

type Run = {
  unit: Unit | undefined;
  digest: string | undefined;
  /** The upstream closed the connection, so it hardly works on it any more. */
  closedByUpstream: boolean;
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
   * @returns how many requests are likely to run still
   */
  count(): number {
    return this.#likely().length;
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
   * @returns when `count` decreases next, or `Infinity`
   */
  nextEndAt(): number {
    return Math.min(...this.#likely().map((run) => run.until));
  }

  #likely(): Run[] {
    return this.#present().filter((run) => !run.closedByUpstream);
  }

  #present(): Run[] {
    const now = this.#clock.now();
    return this.#runs.filter((run) => run.until > now);
  }
}
