/**
 * Weight of a new report in the moving average. Each VM reports the median of a
 * few answers, which differs between VMs by tens of percent. With a weight of
 * one half, keys were moved between upstreams of equal speed.
 */
const REPORT_WEIGHT = 0.2;

/** Averages the slowdowns of upstreams that VMs have reported to the leader. */
export class ReportedSlowdowns {
  readonly #averages = new Map<string, number>();

  /**
   * @returns average slowdown by id of the upstream
   */
  get averages(): ReadonlyMap<string, number> {
    return this.#averages;
  }

  /**
   * Records the slowdowns that one VM has reported.
   *
   * @param slowdowns - slowdown by id of the upstream
   */
  add(slowdowns: Readonly<Record<string, number>>): void {
    for (const [id, slowdown] of Object.entries(slowdowns)) {
      const before = this.#averages.get(id) ?? slowdown;
      this.#averages.set(id, before + REPORT_WEIGHT * (slowdown - before));
    }
  }

  /**
   * Forgets upstreams that are no longer registered.
   *
   * @param isRegistered - whether an upstream is registered
   */
  prune(isRegistered: (id: string) => boolean): void {
    for (const id of this.#averages.keys()) {
      if (!isRegistered(id)) this.#averages.delete(id);
    }
  }
}
