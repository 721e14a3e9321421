import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { DirectMetrics } from "../direct/direct_metrics.ts";
import type { FleetView } from "../direct/fleet_view.ts";
import { withTimeout } from "../vms/with_timeout.ts";
import { incarnationKey } from "./incarnation_key.ts";
import type { KeyRange } from "./key_range.ts";
import type { RangeDocument } from "./range_document.ts";
import type { RangeGrants } from "./range_grants.ts";
import { rangeKey } from "./range_key.ts";

type Options = {
  service: string;
  view: FleetView;
  grants: RangeGrants;
  clock: Clock;
  logger: Logger;
  metrics: DirectMetrics;
};
type Owner = KeyRange["owner"];
type Registration =
  | { kind: "registered"; address: string }
  /** The process may still run and receive orders. */
  | { kind: "absent" }
  /** Another incarnation has replaced it, or it has been absent for long. */
  | { kind: "ended" };
/** Progress with one earlier owner of one range; times are monotonic. */
type Fence = { inFlight: boolean; nextAttemptAt: number; done: boolean };

const RETRY_DELAY_MS = 350;
/** An upstream answers once its work on the keys has ended. */
const ORDER_TIMEOUT_MS = 3000;
/**
 * Linux gives up on the unsent bytes of an ended process after about 100 s
 * (`tcp_orphan_retries`).
 */
const MAX_ORDER_AGE_MS = 120_000;

/**
 * Sends the tokens of ranges to earlier owners whose leases have expired, so
 * that they refuse orders that were sent before and arrive late.
 */
export class RangeFences {
  readonly #opts: Options;
  readonly #fences = new Map<string, Fence>();
  /** Monotonic milliseconds since when incarnations are not registered. */
  readonly #absentSince = new Map<string, number>();

  /**
   * @param opts - the service and its upstreams
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * @param range - a range
   * @param owner - one of its `unfenced` owners
   * @returns whether the owner refuses earlier orders, or receives none
   */
  isFenced(range: KeyRange, owner: Owner): boolean {
    return this.#fences.get(fenceKey(range, owner))?.done === true;
  }

  /**
   * @param range - a range
   * @param owner - one of its `unfenced` owners
   * @returns whether an order to the owner is in flight
   */
  isSending(range: KeyRange, owner: Owner): boolean {
    return this.#fences.get(fenceKey(range, owner))?.inFlight === true;
  }

  /**
   * Starts the orders of a range that are due.
   *
   * @param range - a range, also one that is moving
   * @param granted - whether the range's owner may have received its grant, so
   * that an order would take the keys from it
   * @param signal - cancels the orders
   */
  sendIfDue(range: KeyRange, granted: boolean, signal: AbortSignal): void {
    const now = this.#opts.clock.now();
    for (const owner of range.unfenced ?? []) {
      const key = fenceKey(range, owner);
      if (granted && incarnationKey(owner) === incarnationKey(range.owner)) {
        continue;
      }
      const fence = this.#fences.get(key) ??
        { inFlight: false, nextAttemptAt: now, done: false };
      this.#fences.set(key, fence);
      if (fence.done || fence.inFlight || now < fence.nextAttemptAt) continue;
      const found = this.#find(owner, now);
      switch (found.kind) {
        case "registered": {
          const { address } = found;
          void this.#send(fence, range, { id: owner.id, address }, signal);
          break;
        }
        case "absent":
          break;
        case "ended":
          fence.done = true;
          break;
      }
    }
  }

  /**
   * Removes the state of owners that are no longer listed.
   *
   * @param document - the owners that were just written
   */
  prune({ ranges }: RangeDocument): void {
    const listed = ranges.flatMap((range) =>
      (range.unfenced ?? []).map((owner) => ({
        fence: fenceKey(range, owner),
        owner: incarnationKey(owner),
      }))
    );
    const fences = new Set(listed.map(({ fence }) => fence));
    const owners = new Set(listed.map(({ owner }) => owner));
    for (const key of this.#fences.keys()) {
      if (!fences.has(key)) this.#fences.delete(key);
    }
    for (const key of this.#absentSince.keys()) {
      if (!owners.has(key)) this.#absentSince.delete(key);
    }
  }

  #find(owner: Owner, now: number): Registration {
    const entry = this.#opts.view.upstream(owner.id)?.entry;
    const key = incarnationKey(owner);
    if (entry === undefined) {
      const since = this.#absentSince.get(key) ?? now;
      this.#absentSince.set(key, since);
      return { kind: now - since < MAX_ORDER_AGE_MS ? "absent" : "ended" };
    }
    this.#absentSince.delete(key);
    return entry.incarnation === owner.incarnation
      ? { kind: "registered", address: entry.address }
      : { kind: "ended" };
  }

  async #send(
    fence: Fence,
    { first, last, fence: token }: KeyRange,
    { id, address }: { id: string; address: string },
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, grants, logger, metrics, service } = this.#opts;
    fence.inFlight = true;
    try {
      const { kind } = await withTimeout(
        { clock, ms: ORDER_TIMEOUT_MS },
        signal,
        (timeoutSignal) =>
          grants.release(
            { address, id, first, last, fence: token },
            timeoutSignal,
          ),
      );
      fence.done = kind === "released";
      metrics.orders.inc({ order: "fence", result: kind });
      logger.info(
        { service, upstream: id, first, last, fence: token, result: kind },
        "token sent to an earlier owner",
      );
    } catch (err) {
      metrics.unexpectedErrors.inc({ place: "fence" });
      logger.error({ err, service, upstream: id }, "order of keys failed");
    } finally {
      fence.inFlight = false;
      fence.nextAttemptAt = clock.now() + RETRY_DELAY_MS;
    }
  }
}

function fenceKey(range: KeyRange, owner: Owner): string {
  return `${rangeKey(range)} ${incarnationKey(owner)}`;
}
