import type { Clock } from "../base/clock.ts";
import { SlidingCounter } from "./sliding_counter.ts";

type RetryBound = {
  /** Retries allowed per request. */
  ratio: number;
  windowMs: number;
  /** Additional retries allowed per window, for all VMs together. */
  slack: number;
};

/**
 * Fraction of the bound that is used. The margin covers differences between the
 * windows of the VMs and a change of the number of VMs.
 */
const USED_FRACTION = 0.6;

/**
 * This VM's share of each service's retry budget, which bounds the retries of
 * all VMs together: the ratio of this VM's requests plus an equal share of the
 * slack.
 */
export class FleetRetryBudget {
  readonly #clock: Clock;
  #bound: RetryBound;
  readonly #vms: () => number;
  readonly #services = new Map<
    string,
    { requests: SlidingCounter; retries: SlidingCounter }
  >();

  /**
   * @param options - `clock`, the `bound` for all VMs together, and `vms`, which
   * returns the known number of VMs
   */
  constructor(options: { clock: Clock; bound: RetryBound; vms: () => number }) {
    this.#clock = options.clock;
    this.#bound = options.bound;
    this.#vms = options.vms;
  }

  /** @param bound - new bound; its window applies only to services not yet seen */
  setBound(bound: RetryBound): void {
    this.#bound = bound;
  }

  /**
   * Counts a caller's request.
   *
   * @param service - the request's service
   */
  onRequest(service: string): void {
    this.#countersOf(service).requests.add(this.#clock.now());
  }

  /**
   * @param service - the request's service
   * @returns whether the request may be retried; the retry is then counted
   */
  take(service: string): boolean {
    const now = this.#clock.now();
    const { requests, retries } = this.#countersOf(service);
    const { ratio, slack } = this.#bound;
    const slackPerVm = slack / Math.max(1, this.#vms());
    const allowed = USED_FRACTION * (ratio * requests.total(now) + slackPerVm);
    if (retries.total(now) + 1 > allowed) return false;
    retries.add(now);
    return true;
  }

  #countersOf(
    service: string,
  ): { requests: SlidingCounter; retries: SlidingCounter } {
    let counters = this.#services.get(service);
    if (counters === undefined) {
      const { windowMs } = this.#bound;
      counters = {
        requests: new SlidingCounter(windowMs),
        retries: new SlidingCounter(windowMs),
      };
      this.#services.set(service, counters);
    }
    return counters;
  }
}
