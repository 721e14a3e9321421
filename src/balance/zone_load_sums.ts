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
    const own = this.#parts.get(except ?? "")?.loads ?? [];
    return [...this.#sums.values()].map(({ load }) => {
      const [service, zone, ...amounts] = load;
      const left = own.find((part) => part[0] === service && part[1] === zone);
      const rounded = amounts.map((amount, index) =>
        Math.max(
          0,
          Math.round((amount - Number(left?.[index + 2] ?? 0)) * 10) / 10,
        )
      );
      return [service, zone, ...rounded] as ZoneLoad;
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
    for (const [service, zone, ...amounts] of part.loads) {
      const key = `${service}\n${zone}`;
      const sum = this.#sums.get(key);
      if (sum === undefined) continue;
      sum.parts--;
      if (sum.parts === 0) this.#sums.delete(key);
      else addTo(sum.load, amounts, -1);
    }
  }

  #add([service, zone, ...amounts]: ZoneLoad): void {
    const key = `${service}\n${zone}`;
    let sum = this.#sums.get(key);
    if (sum === undefined) {
      sum = { load: [service, zone, 0, 0, 0, 0], parts: 0 };
      this.#sums.set(key, sum);
    }
    sum.parts++;
    addTo(sum.load, amounts, 1);
  }
}

function addTo(load: ZoneLoad, amounts: readonly number[], sign: 1 | -1): void {
  load[2] += sign * (amounts[0] ?? 0);
  load[3] += sign * (amounts[1] ?? 0);
  load[4] += sign * (amounts[2] ?? 0);
  load[5] += sign * (amounts[3] ?? 0);
}
