import type { Clock } from "../../src/base/clock.ts";
import type { RangeGrants } from "../../src/ranges/range_grants.ts";

type KeyRangeLease = {
  first: number;
  last: number;
  fence: number;
  expiresAt: number;
};

/**
 * Upstreams that hold key ranges under grants. As real ones do, they start a
 * lease when the grant arrives, and refuse a grant whose fencing token is lower
 * than one they have seen for the same keys.
 */
export class LeaseUpstreams {
  readonly #clock: Clock;
  readonly #leases = new Map<string, KeyRangeLease[]>();
  /** Grants and releases that each upstream has received, for their tokens. */
  readonly #seenOrders = new Map<string, KeyRangeLease[]>();
  /** VMs with a connection on which an upstream accepted a grant, by its id. */
  readonly #connected = new Map<string, Set<string>>();
  /** IDs of the upstreams that no router can reach. */
  readonly down = new Set<string>();
  /** IDs of the upstreams that one VM cannot reach, by the VM. */
  readonly cutOff = new Map<string, ReadonlySet<string>>();
  /** IDs of the upstreams that carry out no release, as work is running. */
  readonly busy = new Set<string>();
  /** IDs of the upstreams that grants of one VM reach late, by the VM. */
  readonly late = new Map<string, ReadonlySet<string>>();
  readonly #lateGrants: (() => unknown)[] = [];
  /** Times at which a grant of each VM last reached an upstream. */
  readonly lastGrantAt = new Map<string, number>();
  /** IDs of the upstreams that say in their answers that they leave. */
  readonly leaving = new Set<string>();
  /** Descriptions of key ranges that two upstreams held at the same time. */
  readonly overlaps: string[] = [];
  /** Number of grants that reached an upstream. */
  grantCount = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns the connections of one VM to all upstreams. */
  connectionsOf(vm: string): RangeGrants {
    return {
      grant: (order, signal) => this.#grant(vm, order, signal),
      release: (order, signal) => this.#release(vm, order, signal),
    };
  }

  #grant(
    vm: string,
    order: Parameters<RangeGrants["grant"]>[0],
    signal: AbortSignal,
  ): ReturnType<RangeGrants["grant"]> {
    if (!this.#canReach(vm, order.id)) return Promise.resolve("not_sent");
    if (this.late.get(vm)?.has(order.id) === true) {
      this.#lateGrants.push(() => this.#grant(vm, order, signal));
      return untilAborted(signal, "unanswered");
    }
    const connected = this.#connected.get(order.id) ?? new Set();
    if (order.sameProcess && !connected.has(vm)) {
      return Promise.resolve("not_sent");
    }
    this.grantCount++;
    this.lastGrantAt.set(vm, this.#clock.now());
    if (this.leaving.has(order.id)) order.onLeaving();
    if (this.#hasSeenHigherToken(order)) return Promise.resolve("stale");
    const now = this.#clock.now();
    const { first, last, fence } = order;
    for (const [id, leases] of this.#leases) {
      if (id === order.id) continue;
      for (const lease of leases) {
        const overlap = lease.first <= last && first <= lease.last;
        if (overlap && lease.expiresAt > now) {
          this.overlaps.push(`${first}-${last}: ${id} and ${order.id}`);
        }
      }
    }
    const lease = { first, last, fence, expiresAt: now + order.holdMs };
    this.#addLease(this.#seenOrders, order.id, lease);
    const keptLeases = (this.#leases.get(order.id) ?? []).filter((candidate) =>
      candidate.first < first || candidate.last > last
    );
    this.#leases.set(order.id, [...keptLeases, lease]);
    this.#connected.set(order.id, connected.add(vm));
    return Promise.resolve("granted");
  }

  #release(
    vm: string,
    order: Parameters<RangeGrants["release"]>[0],
    signal: AbortSignal,
  ): ReturnType<RangeGrants["release"]> {
    const { id, first, last, fence } = order;
    if (!this.#canReach(vm, id)) return Promise.resolve({ kind: "not_sent" });
    if (this.busy.has(id)) {
      return untilAborted(signal, { kind: "unanswered" });
    }
    this.#addLease(this.#seenOrders, id, { first, last, fence, expiresAt: 0 });
    const remainingLeases = (this.#leases.get(id) ?? []).flatMap((lease) =>
      [
        { ...lease, last: Math.min(lease.last, first - 1) },
        { ...lease, first: Math.max(lease.first, last + 1) },
      ].filter((candidate) => candidate.first <= candidate.last)
    );
    this.#leases.set(id, remainingLeases);
    return Promise.resolve({ kind: "released", handover: "state" });
  }

  /** Carries out the grants of `late`, in the order in which they were sent. */
  deliverLateGrants(): void {
    this.late.clear();
    for (const deliver of this.#lateGrants.splice(0)) deliver();
  }

  /** Restarts an upstream, which forgets its leases and fencing tokens. */
  restart(id: string): void {
    this.#connected.delete(id);
    this.#leases.delete(id);
    this.#seenOrders.delete(id);
  }

  /** Returns the IDs of the upstreams that hold a key now. */
  holders(key: number): string[] {
    const now = this.#clock.now();
    return [...this.#leases].filter(([, leases]) =>
      leases.some((lease) =>
        lease.first <= key && key <= lease.last && lease.expiresAt > now
      )
    ).map(([id]) => id);
  }

  #canReach(vm: string, id: string): boolean {
    return !this.down.has(id) && this.cutOff.get(vm)?.has(id) !== true;
  }

  #hasSeenHigherToken(
    order: { id: string } & Omit<KeyRangeLease, "expiresAt">,
  ): boolean {
    return (this.#seenOrders.get(order.id) ?? []).some((candidate) =>
      candidate.fence > order.fence && candidate.first <= order.last &&
      order.first <= candidate.last
    );
  }

  #addLease(
    leasesById: Map<string, KeyRangeLease[]>,
    id: string,
    lease: KeyRangeLease,
  ): void {
    const leases = leasesById.get(id);
    if (leases === undefined) leasesById.set(id, [lease]);
    else leases.push(lease);
  }
}

function untilAborted<T>(signal: AbortSignal, result: T): Promise<T> {
  return new Promise((resolve) =>
    signal.addEventListener("abort", () => resolve(result), { once: true })
  );
}
