import type { DomainPlan } from "./domain_plan.ts";

/** A domain gives requests away from this demand on... */
const START_DEMAND = 0.9;
/** ... until its demand is below this. */
const STOP_DEMAND = 0.75;
/** Domains are filled up to this demand. */
const TARGET_DEMAND = 0.85;
/** Other regions are used only if this demand would remain otherwise. */
const FAR_START_DEMAND = 1.5;
/** Time constants with which a share rises and falls to its target. */
const RISE_TIME_CONSTANT_MS = 150;
const FALL_TIME_CONSTANT_MS = 450;
/** Assumed time before the first update. */
const FIRST_UPDATE_MS = 100;
/** Smaller shares count as none. */
const MIN_SHARE = 0.01;
/** Steps of the share that is logged. */
const ANNOUNCE_STEP = 0.15;

/**
 * Decides what share of the requests of a VM's own domain should go to which
 * other domain. Begins and ends at different demands, and follows the demand with
 * a delay, so that the share does not oscillate.
 */
export class LeaveShares {
  #leaving = false;
  #shares = new Map<string, number>();
  #announced = 0;
  #updatedAt: number | undefined;

  /**
   * @returns share of the requests that should leave, as last announced; it
   * changes only in large steps
   */
  get announced(): number {
    return this.#announced;
  }

  /**
   * @returns share of the requests that should leave
   */
  get total(): number {
    return [...this.#shares.values()].reduce((sum, share) => sum + share, 0);
  }

  /**
   * Updates the shares of the domains.
   *
   * @param own - the VM's own domain
   * @param domains - demands and pressures; gets the shares
   * @param now - monotonic milliseconds
   */
  update(own: string, domains: DomainPlan["domains"], now: number): void {
    const elapsedMs = now - (this.#updatedAt ?? now - FIRST_UPDATE_MS);
    this.#updatedAt = now;
    const home = domains.get(own);
    if (home === undefined) return;
    const { demand } = home;
    this.#leaving = this.#leaving
      ? demand > STOP_DEMAND
      : demand > START_DEMAND;
    const targets = this.#leaving
      ? this.#targets(own, domains, demand)
      : new Map<string, number>();
    for (const [domain, figures] of domains) {
      if (domain === own) continue;
      const before = this.#shares.get(domain) ?? 0;
      const target = targets.get(domain) ?? 0;
      const timeConstantMs = target > before
        ? RISE_TIME_CONSTANT_MS
        : FALL_TIME_CONSTANT_MS;
      const weight = 1 - Math.exp(-elapsedMs / timeConstantMs);
      const share = before + weight * (target - before);
      figures.share = share < MIN_SHARE && target === 0 ? 0 : share;
      this.#shares.set(domain, figures.share);
    }
    for (const domain of this.#shares.keys()) {
      if (!domains.has(domain)) this.#shares.delete(domain);
    }
    const { total } = this;
    if (
      Math.abs(total - this.#announced) >= ANNOUNCE_STEP ||
      (total === 0 && this.#announced > 0)
    ) this.#announced = total;
  }

  /** Fills the free slots of the own region first, then of other regions. */
  #targets(
    own: string,
    domains: DomainPlan["domains"],
    demand: number,
  ): Map<string, number> {
    const targets = new Map<string, number>();
    const slots = domains.get(own)?.slots ?? 0;
    let excess = Math.max(0, demand - TARGET_DEMAND) * slots;
    for (const otherRegion of [false, true]) {
      const remaining = TARGET_DEMAND + excess / slots;
      if (otherRegion && remaining < FAR_START_DEMAND) break;
      const rooms = [...domains].filter(([domain, figures]) =>
        domain !== own && figures.otherRegion === otherRegion
      ).map(([domain, figures]) => {
        const used = Math.max(figures.pressure, figures.demand);
        const room = Math.max(0, TARGET_DEMAND - used) * figures.slots;
        return { domain, room };
      });
      const room = rooms.reduce((sum, r) => sum + r.room, 0);
      const moved = Math.min(excess, room);
      for (const { domain, room: part } of rooms) {
        if (room > 0) {
          targets.set(domain, moved * part / room / (demand * slots));
        }
      }
      excess -= moved;
    }
    return targets;
  }
}
