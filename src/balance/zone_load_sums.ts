import type { ZoneLoad } from "./zone_load.ts";

type Part = { loads: readonly ZoneLoad[]; at: number };
type Sum = { load: ZoneLoad; parts: number };

/**
 * Sums of loads over reporters, e.g. the VMs of a region. A report replaces the
 * reporter's earlier one; the cost of a report does not depend on the number of
 * reporters.
 */
export class ZoneLoadSums {
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
  set(reporter: string, loads: readonly ZoneLoad[], now: number): void {
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
  sums(now: number, except?: string): ZoneLoad[] | undefined {
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

  #add(load: ZoneLoad): void {
    const sum = this.#sums.get(keyOf(load));
    if (sum === undefined) {
      this.#sums.set(keyOf(load), { load: { ...load }, parts: 1 });
      return;
    }
    sum.parts++;
    addTo(sum.load, load, 1);
  }
}

function keyOf({ service, zone }: ZoneLoad): string {
  return `${service}\n${zone}`;
}

/** The clamp is for the rounding errors of sums from which parts were taken. */
function addTo(sum: ZoneLoad, part: ZoneLoad, sign: 1 | -1): void {
  sum.inFlight = Math.max(0, sum.inFlight + sign * part.inFlight);
  sum.workPerS += sign * part.workPerS;
}
