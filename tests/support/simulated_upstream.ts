type Run = { digest: string; unit: string; epoch: number; until: number };

/** A simulated upstream; times are those of the simulation's own clock. */
export class SimulatedUpstream {
  readonly id: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly checksGrants: boolean;
  reachable = true;
  running: Run[] = [];
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
  acceptGrant(
    next: { epoch: number; seq: number; units: Set<string>; until: number },
  ): boolean {
    const { epoch, seq } = this.#grant;
    const newer = next.epoch > epoch ||
      (next.epoch === epoch && next.seq > seq);
    if (newer) this.#grant = next;
    return newer;
  }

  hasGrant(unit: string, now: number): boolean {
    return now < this.#grant.until && this.#grant.units.has(unit);
  }

  /** @returns whether the upstream began to run the request */
  start(run: Run, now: number): boolean {
    if (this.checksGrants && !this.#isCovered(run, now)) return false;
    this.running.push(run);
    return true;
  }

  /** @returns whether a request that may still take effect runs for the key */
  isExecuting(digest: string, now: number): boolean {
    this.running = this.running.filter((run) => now < run.until);
    return this.running.some((run) =>
      run.digest === digest &&
      (!this.checksGrants || this.#isCovered(run, now))
    );
  }

  /** @returns whether the present grant is of the run's term and unit */
  #isCovered(run: Run, now: number): boolean {
    return this.#grant.epoch === run.epoch &&
      this.hasGrant(run.unit, now);
  }
}
