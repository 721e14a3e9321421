import type { Clock } from "../base/clock.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";

const RECHECK_MS = 50;
// Bounds the attempts of all held requests to 500 a second. 1,000 held requests
// at 50 ms would make 20,000, which is more than a router can send.
const RECHECK_MS_PER_HELD = 2;
// Requests wake in step with the answers of the upstream, so that a recovered
// upstream is not met by all of them at once.
const WOKEN_PER_ANSWER = 2;

/**
 * Keeps refused requests until there is reason to try again. The number of
 * requests that wait at the same time is bounded.
 */
export class HoldQueue {
  readonly #clock: Clock;
  readonly #assignments: AssignmentView;
  readonly #limit: number;
  /** Held requests by what they wait for, in order of arrival. */
  readonly #waiting = new Map<string, Set<AbortController>>();
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
   * Waits until one of the rows is newer than the request has seen, the
   * upstream has answered another request, 50 ms have passed (longer if many
   * requests wait), `until` is reached, or the signal aborts.
   *
   * @param opts - the rows' service and regions, `seen` as the sum of the
   * revisions that the request used (see `revisionOf`), the upstream that is
   * waited for (undefined for any), the latest end of the wait on the router's
   * clock, and the signal that ends it
   * @returns false if too many requests wait already; then it did not wait
   */
  async wait(opts: {
    service: string;
    regions: readonly string[];
    seen: number;
    upstream: string | undefined;
    until: number;
    signal: AbortSignal;
  }): Promise<boolean> {
    if (this.#held >= this.#limit) return false;
    this.#held++;
    const end = new AbortController();
    const abort = () => end.abort();
    const leave = this.#enter(keyOf(opts.service, opts.upstream), end);
    opts.signal.addEventListener("abort", abort, { once: true });
    if (opts.signal.aborted) abort();
    try {
      const recheckMs = Math.max(RECHECK_MS, this.#held * RECHECK_MS_PER_HELD);
      const ms = Math.min(recheckMs, opts.until - this.#clock.now());
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
      leave();
      this.#held--;
    }
    return true;
  }

  /**
   * Wakes the first requests that wait for an upstream.
   *
   * @param service - service of the upstream
   * @param upstream - the upstream that answered, undefined if requests of the
   * service wait for any
   */
  answered(service: string, upstream: string | undefined): void {
    if (this.#held === 0) return;
    const waiting = this.#waiting.get(keyOf(service, upstream)) ?? [];
    let woken = 0;
    for (const end of waiting) {
      // One that was woken leaves the set a little later.
      if (end.signal.aborted) continue;
      if (woken === WOKEN_PER_ANSWER) break;
      end.abort();
      woken++;
    }
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

  #enter(key: string, end: AbortController): () => void {
    let waiting = this.#waiting.get(key);
    if (waiting === undefined) {
      waiting = new Set();
      this.#waiting.set(key, waiting);
    }
    const set = waiting.add(end);
    return () => {
      set.delete(end);
      if (set.size === 0 && this.#waiting.get(key) === set) {
        this.#waiting.delete(key);
      }
    };
  }
}

function keyOf(service: string, upstream: string | undefined): string {
  return upstream === undefined ? service : `${service}/${upstream}`;
}
