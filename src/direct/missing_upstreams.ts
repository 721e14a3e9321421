import type { Clock } from "../base/clock.ts";
import type { RowOrigin } from "../rows/row_origin.ts";
import type { StoreOutage } from "../rows/store_outage.ts";
import type { LeaveTimes } from "./leave_times.ts";
import type { Upstream } from "./upstream.ts";

type Missing = {
  /** Time from which the upstream counts as leaving. */
  since: number;
  /** Until when it is used if most of its service is missing. */
  useEndsAt: number;
  /**
   * Whether it is missing from a registry that was restored from an older copy.
   * It registered after the copy was taken, so it is likely to be running.
   */
  unrestored: boolean;
};

/**
 * Registry entries that lapsed while the registry was unreachable are written
 * again within two seconds after it is reachable.
 */
const REGISTRY_RECOVERY_MS = 2200;
/**
 * In an outage of the registry itself, entries lapse together. If at most this
 * fraction of the upstreams is missing after a reconnect, it is assumed that
 * only this VM was disconnected and that the missing upstreams have
 * deregistered.
 */
const MAX_DEREGISTERED_FRACTION = 0.25;
/**
 * Upstreams whose entries may have lapsed get no requests if at most this
 * fraction of their service is missing, since the others can serve instead.
 */
const MAX_WITHHELD_FRACTION = 0.5;

/**
 * Registered upstreams whose registry entries are missing after an outage. They
 * are kept until the registry has recovered, as their entries may have lapsed.
 * All times are monotonic milliseconds.
 */
export class MissingUpstreams {
  readonly #clock: Clock;
  readonly #leaveTimes: LeaveTimes;
  /** By id. */
  readonly #missing = new Map<string, Missing>();
  /** Ids of those that get no requests, as others can serve instead. */
  #withheld: ReadonlySet<string> = new Set();
  #outage: StoreOutage = {
    endedAt: Number.NEGATIVE_INFINITY,
    failedAt: Number.NEGATIVE_INFINITY,
  };

  /**
   * @param clock - this VM's clock
   * @param leaveTimes - until when upstreams that have left may be used
   */
  constructor(clock: Clock, leaveTimes: LeaveTimes) {
    this.#clock = clock;
    this.#leaveTimes = leaveTimes;
  }

  /**
   * @returns ids of all of them
   */
  get ids(): string[] {
    return [...this.#missing.keys()];
  }

  /**
   * @returns whether entries that have lapsed may still be missing
   */
  get recovering(): boolean {
    return this.#clock.now() < this.#outage.endedAt + REGISTRY_RECOVERY_MS;
  }

  /**
   * Records that the registry is reachable again.
   *
   * @param outage - the outage; one that was reported before, or ended earlier,
   * changes nothing
   */
  onReconnected(outage: StoreOutage): void {
    if (outage.endedAt > this.#outage.endedAt) this.#outage = outage;
  }

  /**
   * @param missing - number of entries that one answer reported as removed
   * @param registered - number of upstreams registered before
   * @param origin - how the answer was read
   * @returns whether these entries may have lapsed in an outage
   */
  mayHaveLapsed(
    missing: number,
    registered: number,
    origin: RowOrigin | undefined,
  ): boolean {
    return this.recovering &&
      (origin?.restored === true ||
        missing > registered * MAX_DEREGISTERED_FRACTION);
  }

  /**
   * @param ids - upstreams whose entries may have lapsed
   * @param origin - how the answer was read that lacks them
   */
  add(ids: readonly string[], origin: RowOrigin | undefined): void {
    const now = this.#clock.now();
    const latenessMs = origin?.latenessMs ?? 0;
    const unrestored = origin?.restored === true;
    const useEndsAt = unrestored ? Infinity : this.#leaveTimes.missingUseEndsAt(
      now,
      latenessMs,
      this.#outage.failedAt,
    );
    const since = this.#leaveTimes.countsFrom(now, latenessMs);
    for (const id of ids) {
      // A second report says nothing about when the entry was removed.
      if (this.#missing.has(id)) continue;
      this.#missing.set(id, { since, useEndsAt, unrestored });
    }
  }

  /**
   * @param id - an upstream that is registered again, or was removed
   * @returns whether it was missing
   */
  delete(id: string): boolean {
    return this.#missing.delete(id);
  }

  /**
   * Withholds requests from those whose service can do without.
   *
   * @param upstreams - all registered upstreams, also the missing ones, by id
   */
  updateWithheld(upstreams: ReadonlyMap<string, Upstream>): void {
    if (this.#missing.size === 0 && this.#withheld.size === 0) return;
    const missing = new Map<string, string[]>();
    const counts = new Map<string, number>();
    for (const [id, { entry: { service } }] of upstreams) {
      counts.set(service, (counts.get(service) ?? 0) + 1);
      if (this.#missing.get(id)?.unrestored !== false) continue;
      missing.set(service, [...missing.get(service) ?? [], id]);
    }
    this.#withheld = new Set(
      [...missing].flatMap(([service, ids]) =>
        ids.length <= MAX_WITHHELD_FRACTION * (counts.get(service) ?? 0)
          ? ids
          : []
      ),
    );
  }

  /**
   * @param id - an upstream
   * @returns since when it counts as leaving, as it gets no requests while its
   * entry is missing; Infinity if it may get requests
   */
  withheldSince(id: string): number {
    const missing = this.#missing.get(id);
    if (missing === undefined) return Infinity;
    return this.#withheld.has(id) || this.#clock.now() >= missing.useEndsAt
      ? missing.since
      : Infinity;
  }
}
