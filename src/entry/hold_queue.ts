import type { Clock } from "../base/clock.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";

const RECHECK_MS = 50;

/**
 * Keeps refused requests until their assignment row changes. The number of
 * requests that wait at the same time is bounded.
 */
export class HoldQueue {
  readonly #clock: Clock;
  readonly #assignments: AssignmentView;
  readonly #limit: number;
  #held = 0;

  /**
   * @param opts - clock, the rows to watch, and how many requests may wait
   */
  constructor(
    opts: { clock: Clock; assignments: AssignmentView; limit: number },
  ) {
    this.#clock = opts.clock;
    this.#assignments = opts.assignments;
    this.#limit = opts.limit;
  }

  /**
   * @returns the number of requests that wait now
   */
  get held(): number {
    return this.#held;
  }

  /**
   * Waits until one of the rows is newer than the request has seen, 50 ms have
   * passed, `until` is reached, or the signal aborts.
   *
   * @param opts - the rows' service and regions, `seen` as the sum of the
   * revisions that the request used (see `revisionOf`), the latest end of the
   * wait on the router's clock, and the signal that ends it
   * @returns false if too many requests wait already; then it did not wait
   */
  async wait(opts: {
    service: string;
    regions: readonly string[];
    seen: number;
    until: number;
    signal: AbortSignal;
  }): Promise<boolean> {
    if (this.#held >= this.#limit) return false;
    const ms = Math.min(RECHECK_MS, opts.until - this.#clock.now());
    if (ms <= 0) return true;
    this.#held++;
    const end = new AbortController();
    const abort = () => end.abort();
    opts.signal.addEventListener("abort", abort, { once: true });
    if (opts.signal.aborted) abort();
    try {
      void this.#clock.sleep(ms, end.signal).then(abort);
      while (
        !end.signal.aborted &&
        this.revisionOf(opts.service, opts.regions) <= opts.seen
      ) {
        await this.#assignments.changed.next(end.signal);
      }
    } finally {
      end.abort();
      opts.signal.removeEventListener("abort", abort);
      this.#held--;
    }
    return true;
  }

  /**
   * @param service - service of the rows
   * @param regions - regions of the rows
   * @returns the sum of the rows' revisions, which grows when any row changes
   */
  revisionOf(service: string, regions: readonly string[]): number {
    let sum = 0;
    for (const region of regions) {
      sum += this.#assignments.get(region, service)?.revision ?? 0;
    }
    return sum;
  }
}
