import type { RenewGrant } from "../regions/renew_grant.ts";
import type { RenewParams } from "../regions/renew_params.ts";
import { allocateShares } from "./allocate_shares.ts";
import type { Share } from "./share.ts";

/** The part of a router's report that concerns limits. */
type Report = Pick<
  RenewParams,
  "vm" | "incarnation" | "seq" | "answeredSeq" | "coordinatorEpoch" | "limits"
>;
type Shares = ReadonlyMap<string, Share>;
type Account = {
  vm: string;
  /** When the last of the router's shares expires. */
  endsAt: number;
  /** Shares of the last answer that the router is known to have applied. */
  applied: { seq: number; shares: Shares };
  /** Shares of an answer that the router may have applied. */
  offered: { seq: number; shares: Shares } | undefined;
  /** Shares that the router reported as held. */
  reported: Shares;
  demand: ReadonlyMap<string, RenewParams["limits"][number]>;
};
type Allocation = {
  allocatedAt: number;
  regionLimits: Share;
  shares: Map<string, Share>;
};

const NO_SHARE: Share = { ratePerS: 0, concurrency: 0 };
// Renewals within this time are answered from one allocation.
const ALLOCATION_REUSE_MS = 50;
const FIRST_EPOCH = 1;

/**
 * Tracks the limit shares that routers hold or may hold, so that their sum never
 * exceeds the region's limits for any entry.
 */
export class ShareLedger {
  readonly #epoch: number;
  readonly #allocatesFrom: number;
  readonly #ttlMs: number;
  readonly #accounts = new Map<string, Account>();
  readonly #allocations = new Map<string, Allocation>();

  /**
   * @param term - `epoch` and start (`acquiredAt`) of the coordinator term, and
   * the TTL of dispatch leases (`ttlMs`). Until one TTL after the start, routers
   * that have not reported may hold shares from the previous coordinator
   */
  constructor(term: { epoch: number; acquiredAt: number; ttlMs: number }) {
    this.#epoch = term.epoch;
    // Before a region's first coordinator, no router held shares.
    this.#allocatesFrom = term.epoch === FIRST_EPOCH
      ? term.acquiredAt
      : term.acquiredAt + term.ttlMs;
    this.#ttlMs = term.ttlMs;
  }

  /**
   * Records what a router holds and demands.
   *
   * @param report - a report newer than the process's previous one
   * @param now - the coordinator's clock, in monotonic milliseconds
   */
  accept(report: Report, now: number): void {
    const key = keyOf(report);
    const known = this.#accounts.get(key);
    const current = known !== undefined && now < known.endsAt
      ? known
      : undefined;
    const demand = new Map(report.limits.map((item) => [item.entry, item]));
    const reported = new Map(
      report.limits.map((item) => [item.entry, {
        ratePerS: item.heldRatePerS,
        concurrency: item.heldConcurrency,
      }]),
    );
    let applied = current?.applied ?? { seq: 0, shares: new Map() };
    if (
      report.coordinatorEpoch === this.#epoch &&
      current?.offered?.seq === report.answeredSeq
    ) applied = current.offered;
    this.#accounts.set(key, {
      vm: report.vm,
      endsAt: current?.endsAt ?? now + this.#ttlMs,
      applied,
      // A router has one call in flight at a time, so an answer to an earlier
      // report that it has not applied by now will never be applied.
      offered: undefined,
      reported,
      demand,
    });
    for (const [other, account] of this.#accounts) {
      if (now >= account.endsAt && other !== key) this.#accounts.delete(other);
    }
  }

  /**
   * Grants a router its shares for one more TTL.
   *
   * @param report - the router's newest report, recorded with `accept`
   * @param limitsByEntry - the region's limits for each entry
   * @param now - the coordinator's clock, in monotonic milliseconds
   * @param renewOnly - whether the router gets no more than it may have already
   * @returns the shares, which must be sent as the answer to the report
   */
  grant(
    report: Report,
    limitsByEntry: ReadonlyMap<string, Share>,
    now: number,
    renewOnly = false,
  ): RenewGrant["shares"] {
    const key = keyOf(report);
    const account = this.#accounts.get(key);
    if (account === undefined) return [];
    const shares = new Map<string, Share>();
    for (const [entry, regionLimits] of limitsByEntry) {
      const target = renewOnly
        ? outstanding(account, entry)
        : this.#targetShare(entry, regionLimits, { account, now });
      const others = this.#outstandingOfOthers(entry, key, now);
      shares.set(entry, {
        ratePerS: Math.max(
          0,
          Math.min(target.ratePerS, regionLimits.ratePerS - others.ratePerS),
        ),
        concurrency: Math.max(
          0,
          Math.min(
            target.concurrency,
            regionLimits.concurrency - others.concurrency,
          ),
        ),
      });
    }
    account.offered = { seq: report.seq, shares };
    account.endsAt = now + this.#ttlMs;
    return [...shares].map(([entry, share]) => ({ entry, ...share }));
  }

  /**
   * Returns the share that the router should get if the other routers' shares
   * leave room for it.
   */
  #targetShare(
    entry: string,
    regionLimits: Share,
    context: { account: Account; now: number },
  ): Share {
    const { account, now } = context;
    if (now < this.#allocatesFrom) return outstanding(account, entry);
    const cached = this.#allocations.get(entry);
    const fresh = cached !== undefined &&
      now - cached.allocatedAt < ALLOCATION_REUSE_MS &&
      cached.regionLimits.ratePerS === regionLimits.ratePerS &&
      cached.regionLimits.concurrency === regionLimits.concurrency;
    const share = fresh ? cached.shares.get(account.vm) : undefined;
    if (share !== undefined) return share;
    const active = [...this.#accounts.values()]
      .filter((other) => now < other.endsAt || other === account)
      .sort((a, b) => a.vm < b.vm ? -1 : 1);
    const shares = allocateShares(
      regionLimits,
      active.map(({ vm, demand }) => ({
        vm,
        demandPerS: demand.get(entry)?.demandPerS ?? 0,
        demandConcurrency: demand.get(entry)?.demandConcurrency ?? 0,
      })),
    );
    this.#allocations.set(entry, {
      allocatedAt: now,
      regionLimits,
      shares,
    });
    return shares.get(account.vm) ?? NO_SHARE;
  }

  #outstandingOfOthers(entry: string, key: string, now: number): Share {
    const sum = { ...NO_SHARE };
    for (const [other, account] of this.#accounts) {
      if (other === key || now >= account.endsAt) continue;
      const share = outstanding(account, entry);
      sum.ratePerS += share.ratePerS;
      sum.concurrency += share.concurrency;
    }
    return sum;
  }
}

function keyOf(report: Report): string {
  return `${report.vm}/${report.incarnation}`;
}

/** Returns the largest share that the router may be using. */
function outstanding(account: Account, entry: string): Share {
  const held = [
    account.applied.shares.get(entry),
    account.offered?.shares.get(entry),
    account.reported.get(entry),
  ].filter((share) => share !== undefined);
  return {
    ratePerS: Math.max(0, ...held.map((share) => share.ratePerS)),
    concurrency: Math.max(0, ...held.map((share) => share.concurrency)),
  };
}
