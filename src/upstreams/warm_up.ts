import type { Clock } from "../base/clock.ts";
import type { Service } from "../catalogue/service.ts";

type StateReport = {
  state: "cold" | "warm" | "draining" | undefined;
  boot: string | undefined;
  /** When the request was sent whose answer contained the state. */
  requestedAt: number;
};
type Phase =
  /** No report yet; the limits of a cold upstream apply. */
  | { kind: "unknown" }
  | { kind: "cold"; since: number }
  | { kind: "ramp"; since: number }
  | { kind: "warm"; since: number };

/** Capacity assumed per slot while no service time is known. */
const DEFAULT_SLOT_CAPACITY_PER_S = 100;

/**
 * Limits the load of an upstream after a cold start. While it is cold, the
 * catalogue's `coldStart` limits apply; once it reports that it is warm, they
 * double every `rampMs` until they reach its capacity. An upstream whose first
 * report is `warm` is not limited.
 */
export class WarmUp {
  readonly #clock: Clock;
  #service: Service;
  #phase: Phase = { kind: "unknown" };
  #boot: string | undefined;
  readonly #earlierBoots = new Set<string>();
  #lastStartAt = -Infinity;

  /**
   * @param clock - time of the ramp
   * @param service - slots and cold-start limits
   */
  constructor(clock: Clock, service: Service) {
    this.#clock = clock;
    this.#service = service;
  }

  /**
   * Replaces the limits after a change of the catalogue.
   *
   * @param service - slots and cold-start limits
   */
  update(service: Service): void {
    this.#service = service;
  }

  /**
   * Processes a state that the upstream reported in a response or a health
   * check.
   *
   * @param report - state and boot id; undefined where not reported
   */
  onStateReport(report: StateReport): void {
    const now = this.#clock.now();
    let requestedAt = report.requestedAt;
    if (report.boot !== undefined && report.boot !== this.#boot) {
      // A late report of an earlier process is out of date.
      if (this.#earlierBoots.has(report.boot)) return;
      if (this.#boot !== undefined) {
        this.#earlierBoots.add(this.#boot);
        this.becameCold();
        requestedAt = now;
      }
      this.#boot = report.boot;
    }
    const phase = this.#phase;
    if (report.state === "cold") {
      if (phase.kind === "unknown" || requestedAt >= phase.since) {
        if (phase.kind !== "cold") this.becameCold();
      }
    } else if (report.state === "warm") {
      if (phase.kind === "unknown") this.#phase = { kind: "warm", since: now };
      else if (phase.kind === "cold" && requestedAt >= phase.since) {
        this.#phase = { kind: "ramp", since: now };
      }
    }
  }

  /**
   * Applies the cold-start limits again: the upstream restarted, was lost,
   * refused a request because of overload, or reset all connections.
   */
  becameCold(): void {
    this.#phase = { kind: "cold", since: this.#clock.now() };
  }

  /**
   * @param medianMs - median service time, 0 if unknown; the ramp ends at the
   * rate that all slots together sustain
   * @returns whether the cold-start limits still apply
   */
  isCold(medianMs: number): boolean {
    if (this.#phase.kind !== "ramp") return this.#phase.kind !== "warm";
    const { slots } = this.#service;
    const capacityPerS = medianMs > 0
      ? slots * 1000 / medianMs
      : slots * DEFAULT_SLOT_CAPACITY_PER_S;
    const { concurrency, ratePerS } = this.#limits();
    if (concurrency < slots || ratePerS < capacityPerS) return true;
    this.#phase = { kind: "warm", since: this.#phase.since };
    return false;
  }

  /**
   * @param medianMs - median service time, 0 if unknown
   * @returns number of requests that may run concurrently
   */
  concurrency(medianMs: number): number {
    return this.isCold(medianMs)
      ? this.#limits().concurrency
      : this.#service.slots;
  }

  /**
   * @param medianMs - median service time, 0 if unknown
   * @returns when the next request may start; may be in the past
   */
  nextStartAt(medianMs: number): number {
    if (!this.isCold(medianMs)) return this.#clock.now();
    return this.#lastStartAt + 1000 / this.#limits().ratePerS;
  }

  /** Records that a request was started. */
  onStarted(): void {
    this.#lastStartAt = this.#clock.now();
  }

  #limits(): { concurrency: number; ratePerS: number } {
    const { slots, coldStart } = this.#service;
    const factor = this.#phase.kind === "ramp"
      ? 2 ** Math.floor(
        (this.#clock.now() - this.#phase.since) / coldStart.rampMs,
      )
      : 1;
    return {
      concurrency: Math.min(slots, coldStart.concurrency * factor),
      ratePerS: coldStart.ratePerS * factor,
    };
  }
}
