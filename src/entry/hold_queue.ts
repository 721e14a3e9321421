import type { Clock } from "../base/clock.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";

const RETRY_INTERVAL_MS = 50;
// Limits the attempts of all held requests to 500 per second. 1,000 held
// requests that retry every 50 ms would make 20,000 attempts per second, more
// than a router can send.
const RETRY_INTERVAL_PER_HELD_REQUEST_MS = 2;
// Held requests are woken at the rate of the upstream's responses, so that they
// do not all reach a recovered upstream at the same time.
const REQUESTS_WOKEN_PER_RESPONSE = 2;

/**
 * Holds refused requests until a retry may succeed. Limits the number of
 * requests that wait at the same time.
 */
export class HoldQueue {
  readonly #clock: Clock;
  readonly #assignments: AssignmentView;
  readonly #maxHeld: number;
  /** Held requests by service or upstream (`waitKey`), in order of arrival. */
  readonly #waiting = new Map<string, Set<AbortController>>();
  #heldCount = 0;

  /**
   * @param opts - clock, the assignment rows to watch, and the maximum number
   * of requests that wait at the same time
   */
  constructor(
    opts: { clock: Clock; assignments: AssignmentView; maxHeld: number },
  ) {
    this.#clock = opts.clock;
    this.#assignments = opts.assignments;
    this.#maxHeld = opts.maxHeld;
  }

  /**
   * @returns the number of requests that are waiting
   */
  get heldCount(): number {
    return this.#heldCount;
  }

  /**
   * Waits until one of the assignment rows is newer than those that the request
   * used, the upstream responds to another request, 50 ms have passed (2 ms per
   * held request if that is longer), `until` is reached, or the signal aborts.
   *
   * @param opts - service and regions of the rows, the sum of the revisions
   * that the request used (see `revisionSum`), the upstream to wait for
   * (undefined for any), the latest end of the wait on the router's clock, and
   * the signal that ends the wait
   * @returns false, without waiting, if too many requests are waiting already
   */
  async wait(opts: {
    service: string;
    regions: readonly string[];
    seenRevisions: number;
    upstream: string | undefined;
    until: number;
    signal: AbortSignal;
  }): Promise<boolean> {
    if (this.#heldCount >= this.#maxHeld) return false;
    this.#heldCount++;
    const wake = new AbortController();
    const abort = () => wake.abort();
    const dequeue = this.#enqueue(waitKey(opts.service, opts.upstream), wake);
    opts.signal.addEventListener("abort", abort, { once: true });
    if (opts.signal.aborted) abort();
    try {
      const retryIntervalMs = Math.max(
        RETRY_INTERVAL_MS,
        this.#heldCount * RETRY_INTERVAL_PER_HELD_REQUEST_MS,
      );
      const ms = Math.min(retryIntervalMs, opts.until - this.#clock.now());
      void this.#clock.sleep(ms, wake.signal).then(abort);
      while (
        !wake.signal.aborted &&
        this.revisionSum(opts.service, opts.regions) <= opts.seenRevisions
      ) {
        await this.#assignments.changed.next(wake.signal);
      }
    } finally {
      wake.abort();
      opts.signal.removeEventListener("abort", abort);
      dequeue();
      this.#heldCount--;
    }
    return true;
  }

  /**
   * Wakes the two longest-waiting requests for an upstream that has responded.
   *
   * @param service - service of the upstream
   * @param upstream - the upstream that responded; undefined for a service
   * without keys, whose requests wait for any upstream
   */
  wakeNext(service: string, upstream: string | undefined): void {
    if (this.#heldCount === 0) return;
    const waiting = this.#waiting.get(waitKey(service, upstream)) ?? [];
    let woken = 0;
    for (const wake of waiting) {
      // A woken request removes itself from the set asynchronously.
      if (wake.signal.aborted) continue;
      if (woken === REQUESTS_WOKEN_PER_RESPONSE) break;
      wake.abort();
      woken++;
    }
  }

  /**
   * @param service - service of the rows
   * @param regions - regions of the rows
   * @returns the sum of the rows' revisions, which grows when any row changes
   */
  revisionSum(service: string, regions: readonly string[]): number {
    let sum = 0;
    for (const region of regions) {
      sum += this.#assignments.get(region, service)?.revision ?? 0;
    }
    return sum;
  }

  #enqueue(key: string, wake: AbortController): () => void {
    let waiting = this.#waiting.get(key);
    if (waiting === undefined) {
      waiting = new Set();
      this.#waiting.set(key, waiting);
    }
    const set = waiting.add(wake);
    return () => {
      set.delete(wake);
      if (set.size === 0 && this.#waiting.get(key) === set) {
        this.#waiting.delete(key);
      }
    };
  }
}

function waitKey(service: string, upstream: string | undefined): string {
  return upstream === undefined ? service : `${service}/${upstream}`;
}
