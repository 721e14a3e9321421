type Reporter = {
  vm: string;
  region: string;
  peerUrl: string;
  /** Whether the store answers the VM. */
  canRelay: boolean;
  /** Processor cores; undefined if it is not known. */
  cores: number | undefined;
};

/**
 * Which VM of each region follows the store for the others: the one with most
 * cores. A choice stays as long as the VM reports and the store answers it.
 */
export class RegionRelays {
  readonly #reporters = new Map<string, Reporter & { at: number }>();
  readonly #chosen = new Map<string, string>();

  /**
   * @returns VMs that have reported lately
   */
  get count(): number {
    return this.#reporters.size;
  }

  /**
   * @param reporter - a VM that has just reported
   * @param now - monotonic milliseconds
   */
  onReport(reporter: Reporter, now: number): void {
    this.#reporters.set(reporter.vm, { ...reporter, at: now });
  }

  /**
   * Forgets VMs that have not reported since.
   *
   * @param before - monotonic milliseconds
   */
  forget(before: number): void {
    for (const [vm, { at }] of this.#reporters) {
      if (at < before) this.#reporters.delete(vm);
    }
  }

  /**
   * @param region - a region
   * @returns peer URL of the VM that follows the store for it
   */
  relayOf(region: string): string | undefined {
    const chosen = this.#reporters.get(this.#chosen.get(region) ?? "");
    if (chosen?.region === region && chosen.canRelay) return chosen.peerUrl;
    const [next] = [...this.#reporters.values()]
      .filter((one) => one.region === region && one.canRelay)
      .sort((a, b) =>
        (b.cores ?? 0) - (a.cores ?? 0) || (a.vm < b.vm ? -1 : 1)
      );
    if (next !== undefined) this.#chosen.set(region, next.vm);
    return next?.peerUrl;
  }
}
