type Run = { digest: string; unit: string; epoch: number; until: number };

/** A simulated upstream; times are those of the simulation's own clock. */
export class RegionUpstream {
  readonly id: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly checksGrants: boolean;
  reachable = true;
  runs: Run[] = [];
  #grant = { epoch: 0, seq: -1, units: new Set<string>(), until: 0 };

  constructor(opts: {
    id: string;
    service: string;
    failureDomain: string;
    checksGrants: boolean;
  }) {
    this.id = opts.id;
    this.service = opts.service;
    this.failureDomain = opts.failureDomain;
    this.checksGrants = opts.checksGrants;
  }

  /** @returns whether the grant was accepted */
  grant(
    next: { epoch: number; seq: number; units: Set<string>; until: number },
  ): boolean {
    const { epoch, seq } = this.#grant;
    const newer = next.epoch > epoch ||
      (next.epoch === epoch && next.seq > seq);
    if (newer) this.#grant = next;
    return newer;
  }

  grants(unit: string, now: number): boolean {
    return now < this.#grant.until && this.#grant.units.has(unit);
  }

  /** @returns whether the upstream began to run the request */
  start(run: Run, now: number): boolean {
    if (this.checksGrants && !this.#covers(run, now)) return false;
    this.runs.push(run);
    return true;
  }

  /** @returns whether a request that may still take effect runs for the key */
  serves(digest: string, now: number): boolean {
    this.runs = this.runs.filter((run) => now < run.until);
    return this.runs.some((run) =>
      run.digest === digest && (!this.checksGrants || this.#covers(run, now))
    );
  }

  #covers(run: Run, now: number): boolean {
    return this.#grant.epoch === run.epoch && this.grants(run.unit, now);
  }
}
