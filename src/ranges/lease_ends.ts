/** Tracks until when owners may hold keys; times in monotonic milliseconds. */
export class LeaseEnds {
  readonly #ends = new Map<string, number>();
  readonly #lastOrdersAt = new Map<string, number>();
  /** Latest possible ends of the leases of orders in flight. */
  readonly #pending = new Map<string, Set<{ readonly until: number }>>();

  /**
   * Records an order that may be carried out at any time until it has ended.
   *
   * @param owner - who receives the order
   * @param now - when the order is sent
   * @param until - latest possible end of its lease
   * @returns called when the order has ended, with the end of its lease, or with
   * undefined if it was not sent
   */
  begin(
    owner: string,
    now: number,
    until: number,
  ): (leaseEnd: number | undefined) => void {
    const order = { until };
    const pending = this.#pending.get(owner) ?? new Set();
    this.#pending.set(owner, pending.add(order));
    this.#lastOrdersAt.set(owner, now);
    return (leaseEnd) => {
      pending.delete(order);
      if (leaseEnd === undefined) return;
      this.#ends.set(owner, Math.max(this.#ends.get(owner) ?? 0, leaseEnd));
    };
  }

  /**
   * @param owner - who received orders
   * @returns until when the owner may hold keys; 0 if it has received no order
   */
  endOf(owner: string): number {
    const pending = [...this.#pending.get(owner) ?? []];
    return Math.max(
      this.#ends.get(owner) ?? 0,
      ...pending.map(({ until }) => until),
    );
  }

  /**
   * @param owner - who received orders
   * @param now - monotonic milliseconds
   * @returns milliseconds since the last order; undefined if there was none
   */
  lastOrderAgeMs(owner: string, now: number): number | undefined {
    const at = this.#lastOrdersAt.get(owner);
    return at === undefined ? undefined : Math.round(now - at);
  }

  /**
   * @param owner - who received orders
   * @param now - monotonic milliseconds
   * @returns milliseconds since the end of its leases; undefined if there was
   * no order
   */
  endAgeMs(owner: string, now: number): number | undefined {
    const end = this.endOf(owner);
    return end === 0 ? undefined : Math.round(now - end);
  }

  /**
   * Removes leases that have ended, also those of orders whose end was not
   * reported.
   *
   * @param now - monotonic milliseconds
   * @param isInUse - whether the end of an owner's leases is still needed
   */
  prune(now: number, isInUse: (owner: string) => boolean): void {
    for (const [owner, until] of this.#ends) {
      if (until < now && !isInUse(owner)) this.#ends.delete(owner);
    }
    for (const owner of this.#lastOrdersAt.keys()) {
      if (!isInUse(owner)) this.#lastOrdersAt.delete(owner);
    }
    for (const [owner, orders] of this.#pending) {
      for (const order of orders) if (order.until < now) orders.delete(order);
      if (orders.size === 0) this.#pending.delete(owner);
    }
  }
}
