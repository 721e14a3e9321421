import type { LoadReport } from "./load_report.ts";

/**
 * Time constant with which the last report of other VMs' requests decays to
 * their mean.
 */
const REPORT_TIME_CONSTANT_MS = 600;
const OTHER_REQUESTS_EMA_WEIGHT = 0.25;
/** Time constant with which the mean decays to 0 without reports. */
const OTHER_REQUESTS_MEAN_TIME_CONSTANT_MS = 4000;
/**
 * Time constant with which a reported slowdown decays to the median. Upstreams
 * share hosts, and slowdowns last for some hundreds of milliseconds.
 */
const SLOWDOWN_TIME_CONSTANT_MS = 300;
const UNREPORTED_SLOWDOWN_EMA_WEIGHT = 0.1;
const MIN_UNREPORTED_SLOWDOWN = 0.25;
const MAX_UNREPORTED_SLOWDOWN = 20;
/**
 * Time constant with which the unreported slowdown decays to 1, so that a slow
 * upstream is tried again after a time without answers.
 */
const UNREPORTED_SLOWDOWN_TIME_CONSTANT_MS = 6000;

/**
 * Queue assumed at an upstream that rejects connections. Upstreams queue a few
 * requests for each slot.
 */
const ASSUMED_QUEUE_PER_SLOT = 3;
/** Number of reported slowdowns whose median is an upstream's own speed. */
const MAX_KEPT_SLOWDOWNS = 7;

type DatedReport = LoadReport & { otherRequests: number; at: number };

/**
 * Estimates the load of one upstream as seen by one VM, from the VM's own
 * requests in flight, which are counted, and those of other VMs, which are
 * known only from load reports in earlier answers.
 */
export class LoadEstimate {
  #slots: number;
  #inFlight = 0;
  #reported: DatedReport | undefined;
  /** Moving average of the number of requests from other VMs. */
  #meanOtherRequests = 0;
  /** The last reported slowdowns, newest last. */
  readonly #slowdowns: number[] = [];
  /** Median of the last reported slowdowns: the upstream's own speed. */
  #medianSlowdown = 1;
  /** Factor by which work takes longer than the reported slowdown explains. */
  #unreportedSlowdown = 1;
  #unreportedSlowdownAt = 0;

  /**
   * @param slots - requests that the upstream runs at a time
   */
  constructor(slots: number) {
    this.#slots = slots;
  }

  /**
   * @returns number of this VM's requests in flight
   */
  get inFlight(): number {
    return this.#inFlight;
  }

  /**
   * @returns requests that the upstream runs at a time
   */
  get slots(): number {
    return this.#slots;
  }

  /** Counts a request that is being sent. */
  onSent(): void {
    this.#inFlight++;
  }

  /** Counts a request that has ended, with or without an answer. */
  onEnded(): void {
    this.#inFlight--;
  }

  /**
   * Records a load report.
   *
   * @param report - load figures from an answer; its request must still be
   * counted as in flight
   * @param now - monotonic milliseconds
   */
  onReport(report: LoadReport, now: number): void {
    this.#slots = report.slots;
    this.#slowdowns.push(report.slowdown);
    if (this.#slowdowns.length > MAX_KEPT_SLOWDOWNS) this.#slowdowns.shift();
    this.#medianSlowdown = median(this.#slowdowns);
    const total = report.running + report.waiting;
    const own = Math.max(0, this.#inFlight - 1);
    const otherRequests = Math.max(0, total - own);
    this.#meanOtherRequests = this.#meanOtherRequestsAt(now);
    this.#meanOtherRequests += OTHER_REQUESTS_EMA_WEIGHT *
      (otherRequests - this.#meanOtherRequests);
    this.#reported = { ...report, otherRequests, at: now };
  }

  /**
   * Assumes a long queue, since upstreams reject new connections when their
   * queue is long.
   *
   * @param now - monotonic milliseconds
   */
  onConnectionRejected(now: number): void {
    this.onReport({
      running: this.#slots,
      waiting: ASSUMED_QUEUE_PER_SLOT * this.#slots,
      slots: this.#slots,
      slowdown: this.#medianSlowdown,
    }, now);
  }

  /**
   * Updates the unreported slowdown.
   *
   * @param ratio - time of a request that needed no wait, divided by the mean
   * of its route and by the reported slowdown; for a request without an answer,
   * the lower bound that its deadline gives
   * @param now - monotonic milliseconds
   */
  onWorkTimed(ratio: number, now: number): void {
    const before = this.unreportedSlowdown(now);
    const next = before + UNREPORTED_SLOWDOWN_EMA_WEIGHT * (ratio - before);
    this.#unreportedSlowdown = Math.min(
      MAX_UNREPORTED_SLOWDOWN,
      Math.max(MIN_UNREPORTED_SLOWDOWN, next),
    );
    this.#unreportedSlowdownAt = now;
  }

  /**
   * @param now - monotonic milliseconds
   * @returns factor by which work takes longer than the upstream reports
   */
  unreportedSlowdown(now: number): number {
    const age = Math.max(0, now - this.#unreportedSlowdownAt);
    return 1 +
      (this.#unreportedSlowdown - 1) *
        Math.exp(-age / UNREPORTED_SLOWDOWN_TIME_CONSTANT_MS);
  }

  /**
   * @param now - monotonic milliseconds
   * @returns typical run time at this upstream, relative to an average upstream
   */
  typicalSlowdown(now: number): number {
    return this.#medianSlowdown * this.unreportedSlowdown(now);
  }

  /**
   * @param now - monotonic milliseconds
   * @returns estimated number of requests of all VMs that the upstream runs or
   * queues
   */
  requestCount(now: number): number {
    if (this.#reported === undefined) return this.#inFlight;
    const { otherRequests, at } = this.#reported;
    const mean = this.#meanOtherRequestsAt(now);
    const weight = Math.exp(-(now - at) / REPORT_TIME_CONSTANT_MS);
    return this.#inFlight + mean + (otherRequests - mean) * weight;
  }

  /**
   * @param now - monotonic milliseconds
   * @returns the figures behind the estimate, as text for log and refusals
   */
  describe(now: number): string {
    const reportAge = this.#reported === undefined
      ? "no report"
      : `report ${Math.round(now - this.#reported.at)} ms old`;
    const queued = this.requestCount(now).toFixed(1);
    return `${queued} queued, slowness ${
      this.typicalSlowdown(now).toFixed(1)
    }, ${reportAge}`;
  }

  #meanOtherRequestsAt(now: number): number {
    const age = now - (this.#reported?.at ?? now);
    return this.#meanOtherRequests *
      Math.exp(-age / OTHER_REQUESTS_MEAN_TIME_CONSTANT_MS);
  }

  /**
   * @param workMs - mean run time of the request at an average upstream
   * @param now - monotonic milliseconds
   * @returns how long a request sent now is expected to wait and run, in
   * milliseconds
   */
  expectedTimes(
    workMs: number,
    now: number,
  ): { waitMs: number; runMs: number } {
    const typicalMs = workMs * this.typicalSlowdown(now);
    const excessRequests = this.requestCount(now) + 1 - this.#slots;
    return {
      waitMs: Math.max(0, excessRequests) / this.#slots * typicalMs,
      runMs: typicalMs * this.#relativeSlowdown(now),
    };
  }

  /** Last reported slowdown relative to the median, decaying to 1 with time. */
  #relativeSlowdown(now: number): number {
    if (this.#reported === undefined) return 1;
    const { slowdown, at } = this.#reported;
    return 1 +
      (slowdown / this.#medianSlowdown - 1) *
        Math.exp(-(now - at) / SLOWDOWN_TIME_CONSTANT_MS);
  }
}

function median(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1] ?? 1;
}
