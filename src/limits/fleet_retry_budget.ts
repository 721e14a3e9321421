import type { Clock } from "../base/clock.ts";
import { SlidingCounter } from "./sliding_counter.ts";

type Bound = {
  /** Repeats allowed for each request. */
  ratio: number;
  windowMs: number;
  /** Repeats allowed besides, in a window and for all VMs together. */
  slack: number;
};

/**
 * Part of the bound that is used. The rest covers differences between the
 * windows of the VMs and a number of VMs that has just changed.
 */
const USED_PART = 0.6;

/**
 * This VM's part of a service's retry budget, which binds all VMs together:
 * the ratio of its own requests, and an equal part of the slack.
 */
export class FleetRetryBudget {
  readonly #clock: Clock;
  #bound: Bound;
  readonly #vms: () => number;
  readonly #services = new Map<
    string,
    { requests: SlidingCounter; repeats: SlidingCounter }
  >();

  /**
   * @param options - `clock`, the `bound` for all VMs together, and `vms`, the
   * known number of VMs
   */
  constructor(options: { clock: Clock; bound: Bound; vms: () => number }) {
    this.#clock = options.clock;
    this.#bound = options.bound;
    this.#vms = options.vms;
  }

  /** @param bound - new bound; its window takes effect for new services */
  setBound(bound: Bound): void {
    this.#bound = bound;
  }

  /**
   * Counts a caller's request.
   *
   * @param service - the request's service
   */
  onRequest(service: string): void {
    this.#of(service).requests.add(this.#clock.now());
  }

  /**
   * @param service - the request's service
   * @returns whether the request may be sent once more; it is then counted
   */
  take(service: string): boolean {
    const now = this.#clock.now();
    const { requests, repeats } = this.#of(service);
    const { ratio, slack } = this.#bound;
    const part = slack / Math.max(1, this.#vms());
    const allowed = USED_PART * (ratio * requests.total(now) + part);
    if (repeats.total(now) + 1 > allowed) return false;
    repeats.add(now);
    return true;
  }

  #of(service: string): { requests: SlidingCounter; repeats: SlidingCounter } {
    let counters = this.#services.get(service);
    if (counters === undefined) {
      const { windowMs } = this.#bound;
      counters = {
        requests: new SlidingCounter(windowMs),
        repeats: new SlidingCounter(windowMs),
      };
      this.#services.set(service, counters);
    }
    return counters;
  }
}
