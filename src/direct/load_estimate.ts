import type { LoadReport } from "./load_report.ts";

/** How fast a report of requests from other VMs gives way to their mean. */
const REPORT_DECAY_MS = 600;
const MEAN_WEIGHT = 0.25;
/** How fast the mean itself loses its weight without reports. */
const MEAN_DECAY_MS = 4000;
/** Upstreams share their hosts; slowdowns last some hundreds of ms. */
const SLOWDOWN_DECAY_MS = 300;
const SLOWNESS_WEIGHT = 0.1;
const MIN_SLOWNESS = 0.25;
const MAX_SLOWNESS = 20;
/** A slow upstream is tried again after this time without an answer. */
const SLOWNESS_DECAY_MS = 6000;

/** Upstreams queue a few requests for each slot. */
const ASSUMED_QUEUE_PER_SLOT = 3;
/** Slowdowns that tell an upstream's own speed by their median. */
const SPEED_REPORTS = 7;

type Reported = LoadReport & { others: number; at: number };

/**
 * One VM's estimate of an upstream's load: its own requests, which it
 * counts, and those of the other VMs, which answers report late.
 */
export class LoadEstimate {
  #slots: number;
  #inFlight = 0;
  #reported: Reported | undefined;
  /** Mean of the requests of other VMs. */
  #meanOthers = 0;
  /** The last slowdowns that were reported, the newest last. */
  readonly #slowdowns: number[] = [];
  /** Median of the reported slowdowns: the upstream's own speed. */
  #usualSlowdown = 1;
  /** Time that work takes beyond what the reports tell. */
  #slowness = 1;
  #slownessAt = 0;

  /**
   * @param slots - requests that the upstream runs at a time
   */
  constructor(slots: number) {
    this.#slots = slots;
  }

  /**
   * @returns own requests in flight
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

  /** Counts a request that has ended, in whatever way. */
  onEnded(): void {
    this.#inFlight--;
  }

  /**
   * @param report - load figures of an answer whose request is still counted
   * as in flight
   * @param now - monotonic milliseconds
   */
  onReport(report: LoadReport, now: number): void {
    this.#slots = report.slots;
    this.#slowdowns.push(report.slowdown);
    if (this.#slowdowns.length > SPEED_REPORTS) this.#slowdowns.shift();
    this.#usualSlowdown = median(this.#slowdowns);
    const ahead = report.running + report.waiting;
    const own = Math.max(0, this.#inFlight - 1);
    const others = Math.max(0, ahead - own);
    this.#meanOthers = this.#meanAt(now);
    this.#meanOthers += MEAN_WEIGHT * (others - this.#meanOthers);
    this.#reported = { ...report, others, at: now };
  }

  /**
   * The upstream accepts no further connection, which it does when its queue is
   * long.
   *
   * @param now - monotonic milliseconds
   */
  onConnectionRejected(now: number): void {
    this.onReport({
      running: this.#slots,
      waiting: ASSUMED_QUEUE_PER_SLOT * this.#slots,
      slots: this.#slots,
      slowdown: this.#usualSlowdown,
    }, now);
  }

  /**
   * @param ratio - observed time of a request that found a free slot, relative
   * to the mean of its route and the reported slowdown
   * @param now - monotonic milliseconds
   */
  onTimed(ratio: number, now: number): void {
    const before = this.slowness(now);
    const next = before + SLOWNESS_WEIGHT * (ratio - before);
    this.#slowness = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, next));
    this.#slownessAt = now;
  }

  /**
   * @param now - monotonic milliseconds
   * @returns time of work there beyond what the upstream reports, as a factor
   */
  slowness(now: number): number {
    const age = Math.max(0, now - this.#slownessAt);
    return 1 + (this.#slowness - 1) * Math.exp(-age / SLOWNESS_DECAY_MS);
  }

  /**
   * @param now - monotonic milliseconds
   * @returns time that work usually takes there, relative to the mean
   */
  usualTime(now: number): number {
    return this.#usualSlowdown * this.slowness(now);
  }

  /**
   * @param now - monotonic milliseconds
   * @returns requests that run or wait there, of all VMs
   */
  queued(now: number): number {
    if (this.#reported === undefined) return this.#inFlight;
    const { others, at } = this.#reported;
    const mean = this.#meanAt(now);
    const weight = Math.exp(-(now - at) / REPORT_DECAY_MS);
    return this.#inFlight + mean + (others - mean) * weight;
  }

  /**
   * @param now - monotonic milliseconds
   * @returns what the expectation rests on, for the log
   */
  describe(now: number): string {
    const age = this.#reported === undefined
      ? "no report"
      : `report ${Math.round(now - this.#reported.at)} ms old`;
    const queued = this.queued(now).toFixed(1);
    return `${queued} queued, slowness ${
      this.usualTime(now).toFixed(1)
    }, ${age}`;
  }

  #meanAt(now: number): number {
    const age = now - (this.#reported?.at ?? now);
    return this.#meanOthers * Math.exp(-age / MEAN_DECAY_MS);
  }

  /**
   * @param workMs - mean time of the request's work at an average upstream
   * @param now - monotonic milliseconds
   * @returns how long a request would wait and run there, in milliseconds
   */
  expect(workMs: number, now: number): { waitMs: number; runMs: number } {
    const usualMs = workMs * this.usualTime(now);
    const excess = this.queued(now) + 1 - this.#slots;
    return {
      waitMs: Math.max(0, excess) / this.#slots * usualMs,
      runMs: usualMs * this.#momentarySlowdown(now),
    };
  }

  #momentarySlowdown(now: number): number {
    if (this.#reported === undefined) return 1;
    const { slowdown, at } = this.#reported;
    return 1 +
      (slowdown / this.#usualSlowdown - 1) *
        Math.exp(-(now - at) / SLOWDOWN_DECAY_MS);
  }
}

function median(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1] ?? 1;
}
