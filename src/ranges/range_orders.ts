import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { DirectMetrics } from "../direct/direct_metrics.ts";
import type { FleetView } from "../direct/fleet_view.ts";
import type { Upstream } from "../direct/upstream.ts";
import { withTimeout } from "../vms/with_timeout.ts";
import { LeaseEnds } from "./lease_ends.ts";
import { incarnationKey } from "./incarnation_key.ts";
import type { LeaderLease } from "./leader_lease.ts";
import type { KeyRange } from "./key_range.ts";
import type { RangeDocument } from "./range_document.ts";
import { RangeFences } from "./range_fences.ts";
import type { RangeGrants } from "./range_grants.ts";
import { rangeKey } from "./range_key.ts";
import type { RangeTable } from "./range_table.ts";
import { UNKNOWN_OWNER } from "./unknown_owner.ts";
import { unfencedOwners } from "./unfenced_owners.ts";

type Options = {
  service: string;
  view: FleetView;
  lease: LeaderLease;
  grants: RangeGrants;
  clock: Clock;
  logger: Logger;
  metrics: DirectMetrics;
  /** Duration of a grant, in milliseconds. */
  holdMs: number;
  /** @returns the last known owners */
  knownTable: () => RangeTable | undefined;
  /** Called if an upstream has seen a higher token than the known one. */
  onStale: () => void;
};
/** State of the renewals of one range; times in monotonic milliseconds. */
type Renewal = {
  grantedAt: number;
  lastAttemptAt: number;
  inFlight: boolean;
  /** Whether the upstream refused because it has seen a higher token. */
  stale: boolean;
};

const CHECK_INTERVAL_MS = 60;
const RENEWALS_PER_LEASE = 3;
const ORDER_RETRY_DELAY_MS = 350;
/** A round trip between regions takes 40 ms. */
const ORDER_TIMEOUT_MS = 500;
/** An upstream answers a release once its work on the keys has ended. */
const RELEASE_TIMEOUT_MS = 3000;
/** An upstream's clock may run 2% slow. */
const MAX_CLOCK_SKEW_RATIO = 1.02;
/** Network delay of an order; the lease starts when the order arrives. */
const MAX_ORDER_DELAY_MS = 250;

/** Sends grants, renewals and releases of one service's keys to upstreams. */
export class RangeOrders {
  readonly #opts: Options;
  readonly #renewals = new Map<string, Renewal>();
  /** Ends of the leases of this VM's grants, by incarnation. */
  readonly #leaseEnds = new LeaseEnds();
  readonly #activeMoves = new Set<number>();
  /** Fencing tokens of ranges whose new owners may have received a grant. */
  readonly #grantingMoves = new Set<number>();
  /**
   * Fencing tokens of ranges that their new owners have been granted, and the
   * previous owners whose leases have expired without a release.
   */
  readonly #completedMoves = new Map<number, KeyRange["owner"][]>();
  /** Fencing tokens of ranges whose new owners have seen higher ones. */
  readonly #staleMoves = new Set<number>();
  readonly #fences: RangeFences;
  readonly #addresses = new Map<string, string>();

  /**
   * @param opts - the service, its known owners and the upstreams
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.#fences = new RangeFences(opts);
  }

  /**
   * Removes the previous owners of completed moves, and those that have
   * received the tokens of later owners.
   *
   * @param document - owners of keys
   * @returns the same document if nothing changes
   */
  applyProgress(document: RangeDocument): RangeDocument {
    const ranges = document.ranges.map((range) => {
      const { owner, unfenced } = range;
      const expired = this.#completedMoves.get(range.fence);
      const remaining = unfenced?.filter((one) =>
        !this.#fences.isFenced(range, one)
      );
      if (expired !== undefined) {
        return {
          ...range,
          previous: [],
          unfenced: unfencedOwners(owner, remaining, expired),
        };
      }
      return remaining?.length === unfenced?.length ? range : {
        ...range,
        unfenced: unfencedOwners(undefined, remaining),
      };
    });
    return ranges.some((range, index) => range !== document.ranges[index])
      ? { ...document, ranges }
      : document;
  }

  /**
   * @returns whether upstreams may hold keys under grants of a leader whose rows
   * a restore of the store has lost
   */
  get mayHaveUnknownOwners(): boolean {
    const { clock, lease } = this.#opts;
    return clock.now() < lease.lostOrdersEndAt + this.#maxLeaseMs();
  }

  /**
   * @param range - a range
   * @returns whether its owner refused the grant as it has seen a higher token
   */
  isStale(range: KeyRange): boolean {
    return this.#renewals.get(rangeKey(range))?.stale === true ||
      this.#staleMoves.has(range.fence);
  }

  /**
   * Sends the orders that put the last known owners into effect, also while the
   * store is unreachable, until the signal aborts.
   *
   * @param signal - aborts when the leader lease is lost or the process stops
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, lease, view } = this.#opts;
    while (!signal.aborted) {
      for (const upstream of view.upstreams) {
        this.#addresses.set(upstream.entry.id, upstream.entry.address);
      }
      const ranges = this.#opts.knownTable()?.document.ranges ?? [];
      for (const range of lease.maySendOrders ? ranges : []) {
        if (range.previous.length > 0) this.#moveIfNotStarted(range, signal);
        else this.#renewIfDue(range, signal);
        this.#fences.sendIfDue(range, this.#mayHaveGrant(range), signal);
      }
      await clock.sleep(CHECK_INTERVAL_MS, signal);
    }
  }

  /**
   * Removes the state of ranges and upstreams that are no longer in use.
   *
   * @param document - the owners that were just written
   */
  prune(document: RangeDocument): void {
    const { clock, view } = this.#opts;
    const { ranges } = document;
    for (const fence of this.#completedMoves.keys()) {
      const isPending = ranges.some((range) =>
        range.fence === fence && range.previous.length > 0
      );
      if (!isPending) this.#completedMoves.delete(fence);
    }
    for (const fence of this.#staleMoves) {
      if (!ranges.some((range) => range.fence === fence)) {
        this.#staleMoves.delete(fence);
      }
    }
    const keys = new Set(ranges.map(rangeKey));
    for (const key of this.#renewals.keys()) {
      if (!keys.has(key)) this.#renewals.delete(key);
    }
    const incarnations = new Set(
      ranges.flatMap(({ owner, previous }) => [owner, ...previous])
        .map(incarnationKey),
    );
    this.#fences.prune(document);
    this.#leaseEnds.prune(clock.now(), (key) => incarnations.has(key));
    const ids = new Set([...incarnations].map(idOfIncarnationKey));
    for (const id of this.#addresses.keys()) {
      if (view.upstream(id) === undefined && !ids.has(id)) {
        this.#addresses.delete(id);
      }
    }
  }

  #renewIfDue(range: KeyRange, signal: AbortSignal): void {
    const { clock, view, holdMs } = this.#opts;
    const upstream = view.upstream(range.owner.id);
    if (!isOwner(range, upstream)) return;
    const key = rangeKey(range);
    const now = clock.now();
    const existing = this.#renewals.get(key);
    if (existing !== undefined) {
      const due = existing.grantedAt + holdMs / RENEWALS_PER_LEASE;
      if (
        existing.stale || existing.inFlight || now < due ||
        now < existing.lastAttemptAt + ORDER_RETRY_DELAY_MS
      ) {
        return;
      }
    }
    const renewal = existing ??
      {
        grantedAt: Number.NEGATIVE_INFINITY,
        lastAttemptAt: now,
        inFlight: false,
        stale: false,
      };
    this.#renewals.set(key, renewal);
    void this.#renew(renewal, range, upstream, signal);
  }

  async #renew(
    renewal: Renewal,
    range: KeyRange,
    upstream: Upstream,
    signal: AbortSignal,
  ): Promise<void> {
    const startedAt = this.#opts.clock.now();
    renewal.inFlight = true;
    renewal.lastAttemptAt = startedAt;
    try {
      const result = await this.#grant(range, upstream, undefined, signal);
      if (result === "granted") renewal.grantedAt = startedAt;
      // Another leader has used a higher token, which the row contains.
      if (result === "stale") {
        renewal.stale = true;
        this.#opts.onStale();
      }
    } catch (err) {
      this.#onUnexpectedError(err, range);
    } finally {
      renewal.inFlight = false;
    }
  }

  /** An order that cannot be sent must end neither the others nor the process. */
  #onUnexpectedError(err: unknown, { owner, first, last }: KeyRange): void {
    const { logger, metrics, service } = this.#opts;
    metrics.unexpectedErrors.inc({ place: "order" });
    logger.error(
      { err, service, upstream: owner.id, first, last },
      "order of keys failed",
    );
  }

  async #grant(
    range: KeyRange,
    upstream: Upstream,
    handover: string | undefined,
    signal: AbortSignal,
  ): Promise<Awaited<ReturnType<RangeGrants["grant"]>>> {
    const { clock, grants, holdMs, lease, logger, metrics, service } =
      this.#opts;
    const { first, last, fence } = range;
    const { id, address } = upstream.entry;
    const ownerKey = incarnationKey(range.owner);
    const startedAt = clock.now();
    // A grant in flight may arrive at any time until the order times out.
    const onEnded = this.#leaseEnds.begin(
      ownerKey,
      startedAt,
      startedAt + ORDER_TIMEOUT_MS + this.#maxLeaseMs(),
    );
    const result = await withTimeout(
      { clock, ms: ORDER_TIMEOUT_MS },
      signal,
      (timeoutSignal) =>
        grants.grant(
          {
            address,
            id,
            first,
            last,
            fence,
            holdMs,
            handover,
            maySend: () => lease.maySendOrders,
            // While the leader lease is not confirmed, or was not before a
            // restore, another leader may have moved the keys. An upstream that has restarted since would not
            // know that leader's token.
            sameProcess: !lease.confirmed || this.mayHaveUnknownOwners,
            onLeaving: () => upstream.announceLeave(),
          },
          timeoutSignal,
        ),
    );
    onEnded(
      result === "not_sent" ? undefined : clock.now() + this.#maxLeaseMs(),
    );
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
        renewalAgeMs: lease.renewalAgeMs,
      }, "keys granted");
    }
    return result;
  }

  #moveIfNotStarted(range: KeyRange, signal: AbortSignal): void {
    const { fence } = range;
    if (this.#activeMoves.has(fence) || this.#completedMoves.has(fence)) return;
    this.#activeMoves.add(fence);
    void this.#runMove(range, signal);
  }

  async #runMove(range: KeyRange, signal: AbortSignal): Promise<void> {
    try {
      const expired = await this.#move(range, signal);
      if (expired !== undefined) this.#completedMoves.set(range.fence, expired);
    } catch (err) {
      this.#onUnexpectedError(err, range);
      await this.#opts.clock.sleep(ORDER_RETRY_DELAY_MS, signal);
    } finally {
      this.#activeMoves.delete(range.fence);
      this.#grantingMoves.delete(range.fence);
    }
  }

  /**
   * Releases keys from their previous owners and grants them to the new one.
   * Returns the previous owners whose leases have expired without a release;
   * undefined if the new owner has no grant.
   */
  async #move(
    range: KeyRange,
    signal: AbortSignal,
  ): Promise<KeyRange["owner"][] | undefined> {
    const { clock, view } = this.#opts;
    let handover: string | undefined;
    const expired: KeyRange["owner"][] = [];
    for (const previous of range.previous) {
      const released = await this.#release(range, previous, signal);
      if (released === undefined) return undefined;
      handover = released.handover ?? handover;
      if (released.expired && previous.id !== UNKNOWN_OWNER.id) {
        expired.push(previous);
      }
    }
    this.#grantingMoves.add(range.fence);
    while (this.#mayOrder(range, signal)) {
      // A release that arrives after the grant would take the keys again.
      if (this.#fences.isSending(range, range.owner)) {
        await clock.sleep(CHECK_INTERVAL_MS, signal);
        continue;
      }
      const upstream = view.upstream(range.owner.id);
      if (!isOwner(range, upstream)) return undefined;
      const result = await this.#grant(range, upstream, handover, signal);
      if (result === "granted") {
        const now = clock.now();
        this.#renewals.set(rangeKey(range), {
          grantedAt: now,
          lastAttemptAt: now,
          inFlight: false,
          stale: false,
        });
        return expired;
      }
      if (result === "stale") {
        this.#staleMoves.add(range.fence);
        this.#opts.onStale();
        return undefined;
      }
      await clock.sleep(ORDER_RETRY_DELAY_MS, signal);
    }
    return undefined;
  }

  /**
   * Releases keys from a previous owner, or waits until its lease has expired.
   * Returns undefined if orders for the range may no longer be sent.
   */
  async #release(
    range: KeyRange,
    previous: KeyRange["previous"][number],
    signal: AbortSignal,
  ): Promise<{ expired: boolean; handover: string | undefined } | undefined> {
    const { clock, grants, view, logger, metrics, service, lease } = this.#opts;
    const { first, last, fence } = range;
    while (this.#mayOrder(range, signal)) {
      const now = clock.now();
      // A new incarnation holds none of the previous one's keys, but may have
      // accepted renewals meant for that one, so it has to release them.
      const isNewIncarnation = (view.upstream(previous.id)?.entry.incarnation ??
        previous.incarnation) !== previous.incarnation;
      // If this VM's leader lease is not confirmed, another leader may have
      // renewed the upstream's lease.
      if (lease.confirmed && now >= this.#leaseEndOf(previous)) {
        metrics.orders.inc({ order: "release", result: "expired" });
        logger.info({
          service,
          upstream: previous.id,
          first,
          last,
          fence,
          renewalAgeMs: lease.renewalAgeMs,
          lastOrderAgeMs: this.#leaseEnds.lastOrderAgeMs(
            incarnationKey(previous),
            now,
          ),
          ownLeaseEndAgeMs: this.#leaseEnds.endAgeMs(
            incarnationKey(previous),
            now,
          ),
          earlierOrdersAgeMs: Math.round(now - lease.predecessorOrdersEndAt),
        }, "lease of the previous owner has expired");
        return { expired: true, handover: undefined };
      }
      const address = this.#addresses.get(previous.id);
      if (address !== undefined) {
        const released = await withTimeout(
          { clock, ms: RELEASE_TIMEOUT_MS },
          signal,
          (timeoutSignal) =>
            grants.release(
              { address, id: previous.id, first, last, fence },
              timeoutSignal,
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
        // The release carried a higher token, so the upstream refuses an
        // earlier unanswered grant that arrives late.
        if (released.kind === "released") {
          return {
            expired: false,
            handover: isNewIncarnation ? undefined : released.handover,
          };
        }
      }
      await clock.sleep(ORDER_RETRY_DELAY_MS, signal);
    }
    return undefined;
  }

  /** Monotonic milliseconds until which an upstream may hold keys. */
  #leaseEndOf(upstream: { id: string; incarnation: number }): number {
    const ownOrdersEndAt = this.#leaseEnds.endOf(incarnationKey(upstream));
    // The predecessor's orders are unknown: assumes the latest possible grant.
    const predecessorOrdersEndAt = this.#opts.lease.predecessorOrdersEndAt +
      this.#maxLeaseMs();
    return Math.max(ownOrdersEndAt, predecessorOrdersEndAt);
  }

  /** Duration of a grant on the slowest clock, plus its network delay. */
  #maxLeaseMs(): number {
    return this.#opts.holdMs * MAX_CLOCK_SKEW_RATIO + MAX_ORDER_DELAY_MS;
  }

  #mayHaveGrant({ fence, previous }: KeyRange): boolean {
    return previous.length === 0 || this.#grantingMoves.has(fence) ||
      this.#completedMoves.has(fence);
  }

  /** Returns whether this VM may still send orders for a moving range. */
  #mayOrder(range: KeyRange, signal: AbortSignal): boolean {
    return !signal.aborted && this.#opts.lease.maySendOrders &&
      this.#isCurrent(range);
  }

  #isCurrent(range: KeyRange): boolean {
    const table = this.#opts.knownTable();
    return table === undefined ||
      table.document.ranges.some((current) =>
        current.fence === range.fence && current.first === range.first &&
        current.last === range.last
      );
  }
}

function idOfIncarnationKey(key: string): string {
  return key.slice(0, key.lastIndexOf("/"));
}

function isOwner(
  range: KeyRange,
  upstream: Upstream | undefined,
): upstream is Upstream {
  return upstream?.entry.incarnation === range.owner.incarnation;
}
