import type { DomainLoad } from "./domain_load.ts";

type Part = { loads: readonly DomainLoad[]; at: number };
type Sum = { load: DomainLoad; parts: number };

/**
 * Sums of loads over reporters, e.g. the VMs of a region. A report replaces the
 * reporter's earlier one; the cost of a report does not depend on the number of
 * reporters.
 */
export class DomainLoadSums {
  readonly #maxAgeMs: number;
  readonly #settleMs: number;
  /** Oldest report first. */
  readonly #parts = new Map<string, Part>();
  readonly #sums = new Map<string, Sum>();
  #since: number | undefined;

  /**
   * @param maxAgeMs - reports that are older no longer count
   * @param settleMs - time after the first report in which the sums are not
   * complete, since not every reporter has reported
   */
  constructor(maxAgeMs: number, settleMs: number) {
    this.#maxAgeMs = maxAgeMs;
    this.#settleMs = settleMs;
  }

  /**
   * @param reporter - name of the reporter
   * @param loads - its part of the loads
   * @param now - monotonic milliseconds
   */
  set(reporter: string, loads: readonly DomainLoad[], now: number): void {
    this.#removeOld(now);
    this.#since ??= now;
    this.#remove(reporter);
    this.#parts.set(reporter, { loads, at: now });
    for (const load of loads) this.#add(load);
  }

  /**
   * @param now - monotonic milliseconds
   * @param except - reporter that is left out
   * @returns the sums by service and failure domain; undefined while they are
   * not complete
   */
  sums(now: number, except?: string): DomainLoad[] | undefined {
    this.#removeOld(now);
    if (this.#since === undefined || now - this.#since < this.#settleMs) {
      return undefined;
    }
    const left = this.#parts.get(except ?? "")?.loads ?? [];
    return [...this.#sums.values()].map(({ load }) => {
      const sum = { ...load };
      for (const part of left) {
        if (keyOf(part) === keyOf(load)) addTo(sum, part, -1);
      }
      return sum;
    });
  }

  #removeOld(now: number): void {
    for (const [reporter, { at }] of this.#parts) {
      if (now - at <= this.#maxAgeMs) break;
      this.#remove(reporter);
    }
    if (this.#parts.size === 0) this.#since = undefined;
  }

  #remove(reporter: string): void {
    const part = this.#parts.get(reporter);
    if (part === undefined) return;
    this.#parts.delete(reporter);
    for (const load of part.loads) {
      const sum = this.#sums.get(keyOf(load));
      if (sum === undefined) continue;
      sum.parts--;
      if (sum.parts === 0) this.#sums.delete(keyOf(load));
      else addTo(sum.load, load, -1);
    }
  }

  #add(load: DomainLoad): void {
    const sum = this.#sums.get(keyOf(load));
    if (sum === undefined) {
      this.#sums.set(keyOf(load), { load: { ...load }, parts: 1 });
      return;
    }
    sum.parts++;
    addTo(sum.load, load, 1);
  }
}

function keyOf({ service, domain }: DomainLoad): string {
  return `${service}\n${domain}`;
}

/** The clamp is for the rounding errors of sums from which parts were taken. */
function addTo(sum: DomainLoad, part: DomainLoad, sign: 1 | -1): void {
  sum.inFlight = Math.max(0, sum.inFlight + sign * part.inFlight);
  sum.workPerS += sign * part.workPerS;
}
