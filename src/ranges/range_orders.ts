import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { DirectMetrics } from "../direct/direct_metrics.ts";
import type { FleetView } from "../direct/fleet_view.ts";
import type { Upstream } from "../direct/upstream.ts";
import { withTimeout } from "../vms/with_timeout.ts";
import type { LeaderLease } from "./leader_lease.ts";
import type { KeyRange } from "./key_range.ts";
import type { RangeDocument } from "./range_document.ts";
import type { RangeGrants } from "./range_grants.ts";
import type { RangeTable } from "./range_table.ts";

type Options = {
  service: string;
  view: FleetView;
  lease: LeaderLease;
  grants: RangeGrants;
  clock: Clock;
  logger: Logger;
  metrics: DirectMetrics;
  /** How long a grant lasts, in milliseconds. */
  holdMs: number;
  /** @returns the owners as they were known last */
  known: () => RangeTable | undefined;
  /** An upstream has seen a higher fencing token than the known owners have. */
  onStale: () => void;
};
type Renewal = {
  grantedAt: number;
  triedAt: number;
  busy: boolean;
  /** Refused for a higher token; the row will name another one. */
  stale: boolean;
};

const TICK_MS = 60;
/** Three renewals fit into a lease. */
const RENEWALS_PER_HOLD = 3;
const RETRY_MS = 350;
/** A round trip between regions takes 40 ms. */
const ORDER_TIMEOUT_MS = 500;
/** A release is answered when the work on the keys has ended. */
const RELEASE_TIMEOUT_MS = 3000;
/** An upstream's clock may run 2% slow. */
const CLOCK_SKEW = 1.02;
/** Delay of an order on its way, which the lease does not count. */
const ARRIVAL_MS = 250;

/** Grants, renewals and releases of the keys of one service. */
export class RangeOrders {
  readonly #opts: Options;
  readonly #renewals = new Map<string, Renewal>();
  /** Until when any grant to an upstream may be in force; by incarnation. */
  readonly #heldUntil = new Map<string, number>();
  readonly #moving = new Set<number>();
  readonly #completedMoves = new Set<number>();
  readonly #addresses = new Map<string, string>();

  /**
   * @param opts - the service, its known owners and the upstreams
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * @returns fencing tokens of ranges whose new owners have their grants
   */
  get completedMoves(): ReadonlySet<number> {
    return this.#completedMoves;
  }

  /**
   * Keeps the upstreams to the owners that are known, also while the store
   * cannot be reached, until the signal aborts.
   *
   * @param signal - the lease is lost, or the process ends
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, lease, view } = this.#opts;
    while (!signal.aborted) {
      for (const upstream of view.upstreams) {
        this.#addresses.set(upstream.entry.id, upstream.entry.address);
      }
      const ranges = this.#opts.known()?.document.ranges ?? [];
      for (const range of lease.mayOrder ? ranges : []) {
        if (range.previous.length > 0) this.#startMove(range, signal);
        else this.#startRenewal(range, signal);
      }
      await clock.sleep(TICK_MS, signal);
    }
  }

  /**
   * Drops what concerns earlier ranges and upstreams that are long gone.
   *
   * @param document - owners as they were just written
   */
  forget({ ranges }: RangeDocument): void {
    const { clock, view } = this.#opts;
    for (const fence of this.#completedMoves) {
      const waits = ranges.some((range) =>
        range.fence === fence && range.previous.length > 0
      );
      if (!waits) this.#completedMoves.delete(fence);
    }
    const keys = new Set(ranges.map(renewalKey));
    for (const key of this.#renewals.keys()) {
      if (!keys.has(key)) this.#renewals.delete(key);
    }
    const holders = new Set(
      ranges.flatMap(({ owner, previous }) => [owner, ...previous])
        .map(holderKey),
    );
    const now = clock.now();
    for (const [holder, until] of this.#heldUntil) {
      if (until < now && !holders.has(holder)) this.#heldUntil.delete(holder);
    }
    const ids = new Set([...holders].map(idOfHolderKey));
    for (const id of this.#addresses.keys()) {
      if (view.upstream(id) === undefined && !ids.has(id)) {
        this.#addresses.delete(id);
      }
    }
  }

  #startRenewal(range: KeyRange, signal: AbortSignal): void {
    const { clock, view, holdMs } = this.#opts;
    const upstream = view.upstream(range.owner.id);
    if (!isOwner(range, upstream)) return;
    const key = renewalKey(range);
    const now = clock.now();
    const renewal = this.#renewals.get(key);
    if (renewal !== undefined) {
      const due = renewal.grantedAt + holdMs / RENEWALS_PER_HOLD;
      if (
        renewal.stale || renewal.busy || now < due ||
        now < renewal.triedAt + RETRY_MS
      ) {
        return;
      }
    }
    const next = renewal ??
      {
        grantedAt: Number.NEGATIVE_INFINITY,
        triedAt: now,
        busy: false,
        stale: false,
      };
    next.busy = true;
    next.triedAt = now;
    this.#renewals.set(key, next);
    void this.#grant(range, upstream, undefined, signal).then((result) => {
      next.busy = false;
      if (result === "granted") next.grantedAt = now;
      // Another leader has used a higher token; the row tells which.
      if (result === "stale") {
        next.stale = true;
        this.#opts.onStale();
      }
    });
  }

  async #grant(
    range: KeyRange,
    upstream: Upstream,
    handover: string | undefined,
    signal: AbortSignal,
  ): Promise<Awaited<ReturnType<RangeGrants["grant"]>>> {
    const { clock, grants, holdMs, logger, metrics, service } = this.#opts;
    const { first, last, fence } = range;
    const { id, address } = upstream.entry;
    const holder = holderKey(range.owner);
    const startedAt = clock.now();
    const before = this.#heldUntil.get(holder) ?? 0;
    // What is on its way may arrive at any moment.
    const latest = startedAt + ORDER_TIMEOUT_MS + this.#leaseMs();
    this.#heldUntil.set(holder, Math.max(before, latest));
    const result = await withTimeout(
      { clock, ms: ORDER_TIMEOUT_MS },
      signal,
      (either) =>
        grants.grant(
          { address, id, first, last, fence, holdMs, handover },
          either,
        ),
    );
    const until = clock.now() + this.#leaseMs();
    if (result !== "not_sent") {
      this.#heldUntil.set(holder, Math.max(before, until));
    } else if (this.#heldUntil.get(holder) === latest) {
      this.#heldUntil.set(holder, before);
    }
    metrics.orders.inc({ order: "grant", result });
    if (result !== "granted" || handover !== undefined) {
      logger.info({
        service,
        upstream: id,
        first,
        last,
        fence,
        handover: handover !== undefined,
        result,
        ms: Math.round(clock.now() - startedAt),
      }, "keys granted");
    }
    return result;
  }

  #startMove(range: KeyRange, signal: AbortSignal): void {
    const { fence } = range;
    if (this.#moving.has(fence) || this.#completedMoves.has(fence)) return;
    this.#moving.add(fence);
    void this.#move(range, signal).then((completed) => {
      this.#moving.delete(fence);
      if (completed) this.#completedMoves.add(fence);
    });
  }

  /** Takes keys from their previous owners and grants them to the new one. */
  async #move(range: KeyRange, signal: AbortSignal): Promise<boolean> {
    const { clock, view } = this.#opts;
    let handover: string | undefined;
    for (const previous of range.previous) {
      const released = await this.#release(range, previous, signal);
      if (released === undefined) return false;
      handover = released.handover ?? handover;
    }
    while (!signal.aborted && this.#isPlanned(range)) {
      const upstream = view.upstream(range.owner.id);
      if (!isOwner(range, upstream)) return false;
      const result = await this.#grant(range, upstream, handover, signal);
      if (result === "granted") {
        const now = clock.now();
        this.#renewals.set(renewalKey(range), {
          grantedAt: now,
          triedAt: now,
          busy: false,
          stale: false,
        });
        return true;
      }
      if (result === "stale") {
        this.#opts.onStale();
        return false;
      }
      await clock.sleep(RETRY_MS, signal);
    }
    return false;
  }

  /** Returns undefined if the attempt ended without an outcome. */
  async #release(
    range: KeyRange,
    previous: KeyRange["previous"][number],
    signal: AbortSignal,
  ): Promise<{ handover: string | undefined } | undefined> {
    const { clock, grants, view, logger, metrics, service, lease } = this.#opts;
    const { first, last, fence } = range;
    while (!signal.aborted && this.#isPlanned(range)) {
      const now = clock.now();
      // A new life holds nothing of before, but it may have taken renewals that
      // were meant for its former life, so it has to release them.
      const isNewLife = (view.upstream(previous.id)?.entry.incarnation ??
        previous.incarnation) !== previous.incarnation;
      // Another leader may have renewed what this one takes for expired.
      if (lease.confirmed && now >= this.#endOf(previous)) {
        logger.info(
          { service, upstream: previous.id, first, last, fence },
          "lease of the previous owner has run out",
        );
        return { handover: undefined };
      }
      const address = this.#addresses.get(previous.id);
      if (address !== undefined) {
        const released = await withTimeout(
          { clock, ms: RELEASE_TIMEOUT_MS },
          signal,
          (either) =>
            grants.release(
              { address, id: previous.id, first, last, fence },
              either,
            ),
        );
        metrics.orders.inc({ order: "release", result: released.kind });
        logger.info({
          service,
          upstream: previous.id,
          first,
          last,
          fence,
          result: released.kind,
          ms: Math.round(clock.now() - now),
        }, "keys released");
        // The release has told a higher token, so that an unanswered grant
        // which is carried out late will be refused.
        if (released.kind === "released") {
          return { handover: isNewLife ? undefined : released.handover };
        }
      }
      await clock.sleep(RETRY_MS, signal);
    }
    return undefined;
  }

  /** Until when an upstream may hold keys. */
  #endOf(holder: { id: string; incarnation: number }): number {
    const own = this.#heldUntil.get(holderKey(holder)) ?? 0;
    // Orders of an earlier leader are not known.
    const inherited = this.#opts.lease.predecessorEndsAt + this.#leaseMs();
    return Math.max(own, inherited);
  }

  /** From the arrival of a grant to its end on the slowest clock. */
  #leaseMs(): number {
    return this.#opts.holdMs * CLOCK_SKEW + ARRIVAL_MS;
  }

  #isPlanned(range: KeyRange): boolean {
    const table = this.#opts.known();
    return table === undefined ||
      table.document.ranges.some((one) =>
        one.fence === range.fence && one.first === range.first &&
        one.last === range.last
      );
  }
}

function renewalKey({ first, last, fence }: KeyRange): string {
  return `${first}-${last}-${fence}`;
}

function holderKey(holder: { id: string; incarnation: number }): string {
  return `${holder.id}/${holder.incarnation}`;
}

function idOfHolderKey(key: string): string {
  return key.slice(0, key.lastIndexOf("/"));
}

function isOwner(
  range: KeyRange,
  upstream: Upstream | undefined,
): upstream is Upstream {
  return upstream?.entry.incarnation === range.owner.incarnation;
}
