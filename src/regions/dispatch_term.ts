/**
 * Tracks one dispatch term of an assignment row: which router process may act
 * on it, and until when at the latest.
 */
export class DispatchTerm {
  readonly vm: string;
  readonly epoch: number;
  /** Process that holds the dispatch term; undefined until it reports it. */
  incarnation: string | undefined;
  /** Latest end of the dispatch lease, on the coordinator's clock. */
  leaseUntil: number;
  /** The coordinator has asked the router to drain and end the term. */
  ending = false;
  /** The router has ended the dispatch term, with no request in flight. */
  ended = false;
  /**
   * Time from which no request that the router abandoned in an ended term can
   * run, on the coordinator's clock.
   */
  #abandonedUntil = Infinity;
  /**
   * A write has been attempted that relies on the expiry of the lease. The
   * write may take effect late, so the dispatch term is never renewed again.
   */
  retired = false;
  /** Time from which each released unit may have another owner. */
  readonly released = new Map<string, number>();

  /**
   * @param term - `vm` and `epoch` as in the row; `incarnation` if this
   * coordinator chose the process itself; `leaseUntil` the end of any lease
   * that the process may have
   */
  constructor(term: {
    vm: string;
    epoch: number;
    incarnation: string | undefined;
    leaseUntil: number;
  }) {
    this.vm = term.vm;
    this.epoch = term.epoch;
    this.incarnation = term.incarnation;
    this.leaseUntil = term.leaseUntil;
  }

  /**
   * @param vm - VM of a router
   * @param incarnation - incarnation of its process
   * @returns whether that process holds the dispatch term and its lease may be
   * renewed
   */
  belongsTo(vm: string, incarnation: string): boolean {
    return this.vm === vm && this.incarnation === incarnation &&
      !this.ended && !this.retired;
  }

  /**
   * Records that the router has ended the dispatch term.
   *
   * @param abandonedUntil - time from which no request that the router has
   * abandoned can run, on the coordinator's clock
   */
  end(abandonedUntil: number): void {
    this.ended = true;
    this.#abandonedUntil = Math.min(this.#abandonedUntil, abandonedUntil);
  }

  /**
   * @param now - the coordinator's clock
   * @returns whether the upstream may be assigned to another dispatcher
   */
  isOver(now: number): boolean {
    return this.ended || this.retired || now >= this.leaseUntil;
  }

  /**
   * @param service - whether the upstream checks grants, and the longest time
   * in milliseconds that a request of a lost dispatcher may still run
   * @returns time from which no request of this dispatch term is in flight and
   * no grant of it is in force
   */
  drainedAt(service: { checksGrants: boolean; maxRunMs: number }): number {
    if (service.checksGrants) return this.leaseUntil;
    return this.ended
      ? this.#abandonedUntil
      : this.leaseUntil + service.maxRunMs;
  }
}
