import type { Clock } from "../base/clock.ts";
import type { Unit } from "../shards/unit.ts";

type AbandonedRun = {
  unit: Unit | undefined;
  digest: string | undefined;
  /** The upstream closed the connection, so it probably stopped the request. */
  closedByUpstream: boolean;
  /** Deadline that was sent to the upstream, on this router's clock. */
  until: number;
};

/**
 * Tracks requests that were sent and then abandoned without a complete answer.
 * The upstream may run them until the deadline that was sent with them.
 */
export class AbandonedRuns {
  readonly #clock: Clock;
  #runs: AbandonedRun[] = [];

  /**
   * @param clock - clock of the deadlines
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param run - a request that may still run
   */
  add(run: AbandonedRun): void {
    this.#runs = [...this.#unexpired(), run];
  }

  /**
   * @returns how many abandoned requests probably still run
   */
  count(): number {
    return this.#likelyRunning().length;
  }

  /**
   * @param matches - selects the requests to consider
   * @returns milliseconds after which none of them can run
   */
  remainingMs(matches: (run: AbandonedRun) => boolean): number {
    const ends = this.#unexpired().filter(matches).map((run) => run.until);
    return Math.max(0, ...ends.map((until) => until - this.#clock.now()));
  }

  /**
   * @returns when `count` decreases next, or `Infinity`
   */
  nextEndAt(): number {
    return Math.min(...this.#likelyRunning().map((run) => run.until));
  }

  #likelyRunning(): AbandonedRun[] {
    return this.#unexpired().filter((run) => !run.closedByUpstream);
  }

  #unexpired(): AbandonedRun[] {
    const now = this.#clock.now();
    return this.#runs.filter((run) => run.until > now);
  }
}
