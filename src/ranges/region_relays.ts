type Reporter = {
  vm: string;
  region: string;
  peerUrl: string;
  /** Whether the store answered the VM's last calls. */
  canRelay: boolean;
  /** Processor cores; undefined if unknown. */
  cores: number | undefined;
};

/**
 * Chooses a relay for each region: the VM that follows the store for the other
 * VMs of the region. Prefers the VM with most cores. A relay is kept while it
 * reports and the store answers it.
 */
export class RegionRelays {
  readonly #reporters = new Map<string, Reporter & { reportedAt: number }>();
  readonly #chosen = new Map<string, string>();

  /**
   * @returns number of VMs that have reported recently
   */
  get reporterCount(): number {
    return this.#reporters.size;
  }

  /**
   * Records a report.
   *
   * @param reporter - the VM that has just reported
   * @param now - monotonic milliseconds
   */
  onReport(reporter: Reporter, now: number): void {
    this.#reporters.set(reporter.vm, { ...reporter, reportedAt: now });
  }

  /**
   * Removes VMs whose last report is older.
   *
   * @param before - monotonic milliseconds
   */
  removeReportersBefore(before: number): void {
    for (const [vm, { reportedAt }] of this.#reporters) {
      if (reportedAt < before) this.#reporters.delete(vm);
    }
  }

  /**
   * @param region - a region
   * @param avoidedVm - a VM that becomes a relay only if no other can
   * @returns peer URL of the region's relay, or undefined if no VM can relay
   */
  relayOf(region: string, avoidedVm?: string): string | undefined {
    const candidates = [...this.#reporters.values()].filter((reporter) =>
      reporter.region === region && reporter.canRelay
    );
    const preferred = candidates.filter(({ vm }) => vm !== avoidedVm);
    const usable = preferred.length > 0 ? preferred : candidates;
    const chosen = usable.find(({ vm }) => vm === this.#chosen.get(region));
    if (chosen !== undefined) return chosen.peerUrl;
    const [next] = usable.sort((a, b) =>
      (b.cores ?? 0) - (a.cores ?? 0) || (a.vm < b.vm ? -1 : 1)
    );
    if (next !== undefined) this.#chosen.set(region, next.vm);
    return next?.peerUrl;
  }
}
