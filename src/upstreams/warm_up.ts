import type { Clock } from "../base/clock.ts";
import type { Service } from "../catalogue/service.ts";

type Report = {
  state: "cold" | "warm" | "draining" | undefined;
  boot: string | undefined;
  /** When the request was sent that this answers. */
  askedAt: number;
};
type Phase =
  /** Nothing is known yet; limits are those of a cold upstream. */
  | { kind: "unknown" }
  | { kind: "cold"; since: number }
  | { kind: "ramp"; since: number }
  | { kind: "warm"; since: number };

/** Capacity to assume for a slot while no service time is known. */
const UNMEASURED_PER_SLOT_PER_S = 100;

/** Decides how much load an upstream may receive after a cold start. */
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
   * @param service - limits from now on, after a change of the catalogue
   */
  update(service: Service): void {
    this.#service = service;
  }

  /**
   * Takes in what the upstream says of itself, in a response or as its health.
   *
   * @param report - state and boot id, if it gave any
   */
  heard(report: Report): void {
    const now = this.#clock.now();
    let askedAt = report.askedAt;
    if (report.boot !== undefined && report.boot !== this.#boot) {
      // A late report of a process that has ended says nothing of the present.
      if (this.#earlierBoots.has(report.boot)) return;
      if (this.#boot !== undefined) {
        this.#earlierBoots.add(this.#boot);
        this.becameCold();
        askedAt = now;
      }
      this.#boot = report.boot;
    }
    const phase = this.#phase;
    if (report.state === "cold") {
      if (phase.kind === "unknown" || askedAt >= phase.since) {
        if (phase.kind !== "cold") this.becameCold();
      }
    } else if (report.state === "warm") {
      if (phase.kind === "unknown") this.#phase = { kind: "warm", since: now };
      else if (phase.kind === "cold" && askedAt >= phase.since) {
        this.#phase = { kind: "ramp", since: now };
      }
    }
  }

  /** The upstream shed load, or all connections to it were reset. */
  becameCold(): void {
    this.#phase = { kind: "cold", since: this.#clock.now() };
  }

  /**
   * @param medianMs - median service time, 0 if unknown; the ramp ends at the
   * rate that all slots together sustain
   * @returns whether the cold-start limits are still in force
   */
  isCold(medianMs: number): boolean {
    if (this.#phase.kind !== "ramp") return this.#phase.kind !== "warm";
    const { slots } = this.#service;
    const capacityPerS = medianMs > 0
      ? slots * 1000 / medianMs
      : slots * UNMEASURED_PER_SLOT_PER_S;
    const { concurrency, ratePerS } = this.#limits();
    if (concurrency < slots || ratePerS < capacityPerS) return true;
    this.#phase = { kind: "warm", since: this.#phase.since };
    return false;
  }

  /**
   * @param medianMs - median service time, 0 if unknown
   * @returns requests that may run at a time
   */
  concurrency(medianMs: number): number {
    return this.isCold(medianMs)
      ? this.#limits().concurrency
      : this.#service.slots;
  }

  /**
   * @param medianMs - median service time, 0 if unknown
   * @returns when the next request may start; the present or earlier means now
   */
  nextStartAt(medianMs: number): number {
    if (!this.isCold(medianMs)) return this.#clock.now();
    return this.#lastStartAt + 1000 / this.#limits().ratePerS;
  }

  /** A request was started. */
  started(): void {
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
