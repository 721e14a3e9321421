import type { Clock } from "../../src/base/clock.ts";
import type { RangeGrants } from "../../src/ranges/range_grants.ts";

type Hold = { first: number; last: number; fence: number; until: number };

/**
 * Upstreams that hold keys under grants, by their rules: a lease runs from the
 * arrival, and a fencing token below one that was seen is refused.
 */
export class LeaseUpstreams implements RangeGrants {
  readonly #clock: Clock;
  readonly #holds = new Map<string, Hold[]>();
  readonly #seen = new Map<string, Hold[]>();
  /** Upstreams that nobody reaches. */
  readonly dark = new Set<string>();
  /** Keys that two upstreams held at the same time. */
  readonly conflicts: string[] = [];
  grants = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  grant(
    order: Parameters<RangeGrants["grant"]>[0],
  ): ReturnType<RangeGrants["grant"]> {
    if (this.dark.has(order.id)) return Promise.resolve("not_sent");
    this.grants++;
    if (this.#sawHigher(order)) return Promise.resolve("stale");
    const now = this.#clock.now();
    const { first, last, fence } = order;
    for (const [id, holds] of this.#holds) {
      if (id === order.id) continue;
      for (const hold of holds) {
        const overlap = hold.first <= last && first <= hold.last;
        if (overlap && hold.until > now) {
          this.conflicts.push(`${first}-${last}: ${id} and ${order.id}`);
        }
      }
    }
    const hold = { first, last, fence, until: now + order.holdMs };
    this.#add(this.#seen, order.id, hold);
    const kept = (this.#holds.get(order.id) ?? []).filter((one) =>
      one.first < first || one.last > last
    );
    this.#holds.set(order.id, [...kept, hold]);
    return Promise.resolve("granted");
  }

  release(
    order: Parameters<RangeGrants["release"]>[0],
  ): ReturnType<RangeGrants["release"]> {
    if (this.dark.has(order.id)) return Promise.resolve({ kind: "not_sent" });
    const { id, first, last, fence } = order;
    this.#add(this.#seen, id, { first, last, fence, until: 0 });
    const left = (this.#holds.get(id) ?? []).flatMap((hold) =>
      [
        { ...hold, last: Math.min(hold.last, first - 1) },
        { ...hold, first: Math.max(hold.first, last + 1) },
      ].filter((one) => one.first <= one.last)
    );
    this.#holds.set(id, left);
    return Promise.resolve({ kind: "released", handover: "state" });
  }

  /** An upstream starts again and knows nothing of before. */
  restart(id: string): void {
    this.#holds.delete(id);
    this.#seen.delete(id);
  }

  /** Upstreams that hold a key now. */
  holders(key: number): string[] {
    const now = this.#clock.now();
    return [...this.#holds].filter(([, holds]) =>
      holds.some((hold) =>
        hold.first <= key && key <= hold.last && hold.until > now
      )
    ).map(([id]) => id);
  }

  #sawHigher(order: { id: string } & Omit<Hold, "until">): boolean {
    return (this.#seen.get(order.id) ?? []).some((one) =>
      one.fence > order.fence && one.first <= order.last &&
      order.first <= one.last
    );
  }

  #add(to: Map<string, Hold[]>, id: string, hold: Hold): void {
    const known = to.get(id);
    if (known === undefined) to.set(id, [hold]);
    else known.push(hold);
  }
}
