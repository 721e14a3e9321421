import type { RenewGrant } from "../regions/renew_grant.ts";
import type { RenewParams } from "../regions/renew_params.ts";
import { allocateShares } from "./allocate_shares.ts";
import type { Share } from "./share.ts";

type Shares = ReadonlyMap<string, Share>;
type Account = {
  vm: string;
  /** Latest end of every share of the router. */
  until: number;
  /** Shares of the last answer that the router is known to have applied. */
  applied: { seq: number; shares: Shares };
  /** Shares of an answer that the router may have applied. */
  offered: { seq: number; shares: Shares } | undefined;
  /** What the router itself says that it holds. */
  reported: Shares;
  limits: ReadonlyMap<string, RenewParams["limits"][number]>;
};
type Allocation = { at: number; part: Share; shares: Map<string, Share> };

const NOTHING: Share = { ratePerS: 0, concurrency: 0 };
// Renewals that arrive together are answered from one allocation.
const ALLOCATE_EVERY_MS = 50;
const FIRST_EPOCH = 1;

/**
 * Keeps account of the limit shares that routers hold or may hold, so that
 * their sum never exceeds the region's part of any entry.
 */
export class ShareLedger {
  readonly #epoch: number;
  readonly #openFrom: number;
  readonly #ttlMs: number;
  readonly #accounts = new Map<string, Account>();
  readonly #allocations = new Map<string, Allocation>();

  /**
   * @param term - `epoch` and start (`since`) of the coordinator's term;
   * `ttlMs` of dispatch leases. Until one TTL has passed, routers that have not
   * reported may hold shares of the former coordinator
   */
  constructor(term: { epoch: number; since: number; ttlMs: number }) {
    this.#epoch = term.epoch;
    // Before the first coordinator of a region, nobody gave shares.
    this.#openFrom = term.epoch === FIRST_EPOCH
      ? term.since
      : term.since + term.ttlMs;
    this.#ttlMs = term.ttlMs;
  }

  /**
   * Takes in what a router holds and needs.
   *
   * @param report - a report that is newer than the last one of the process
   * @param now - the coordinator's clock
   */
  accept(report: RenewParams, now: number): void {
    const key = keyOf(report);
    const known = this.#accounts.get(key);
    const current = known !== undefined && now < known.until
      ? known
      : undefined;
    const limits = new Map(report.limits.map((item) => [item.entry, item]));
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
      until: current?.until ?? now + this.#ttlMs,
      applied,
      // A router has one call at a time, so an answer to an earlier report
      // that it has not applied by now will never be applied.
      offered: undefined,
      reported,
      limits,
    });
    for (const [other, account] of this.#accounts) {
      if (now >= account.until && other !== key) this.#accounts.delete(other);
    }
  }

  /**
   * Gives a router its shares for one more TTL.
   *
   * @param report - its newest report, which `accept` has taken in
   * @param parts - the region's part of each entry
   * @param now - the coordinator's clock
   * @returns the shares; must be sent as the answer to the report
   */
  grant(
    report: RenewParams,
    parts: ReadonlyMap<string, Share>,
    now: number,
  ): RenewGrant["shares"] {
    const key = keyOf(report);
    const account = this.#accounts.get(key);
    if (account === undefined) return [];
    const shares = new Map<string, Share>();
    for (const [entry, part] of parts) {
      const wanted = this.#wanted(entry, part, { account, now });
      const others = this.#outstandingOfOthers(entry, key, now);
      shares.set(entry, {
        ratePerS: Math.max(
          0,
          Math.min(wanted.ratePerS, part.ratePerS - others.ratePerS),
        ),
        concurrency: Math.max(
          0,
          Math.min(wanted.concurrency, part.concurrency - others.concurrency),
        ),
      });
    }
    account.offered = { seq: report.seq, shares };
    account.until = now + this.#ttlMs;
    return [...shares].map(([entry, share]) => ({ entry, ...share }));
  }

  #wanted(
    entry: string,
    part: Share,
    call: { account: Account; now: number },
  ): Share {
    const { account, now } = call;
    if (now < this.#openFrom) return outstanding(account, entry);
    const known = this.#allocations.get(entry);
    const fresh = known !== undefined && now - known.at < ALLOCATE_EVERY_MS &&
      known.part.ratePerS === part.ratePerS &&
      known.part.concurrency === part.concurrency;
    const share = fresh ? known.shares.get(account.vm) : undefined;
    if (share !== undefined) return share;
    const alive = [...this.#accounts.values()]
      .filter((other) => now < other.until || other === account)
      .sort((a, b) => a.vm < b.vm ? -1 : 1);
    const shares = allocateShares(
      part,
      alive.map(({ vm, limits }) => ({
        vm,
        demandPerS: limits.get(entry)?.demandPerS ?? 0,
        demandConcurrency: limits.get(entry)?.demandConcurrency ?? 0,
      })),
    );
    this.#allocations.set(entry, { at: now, part, shares });
    return shares.get(account.vm) ?? NOTHING;
  }

  #outstandingOfOthers(entry: string, key: string, now: number): Share {
    const sum = { ...NOTHING };
    for (const [other, account] of this.#accounts) {
      if (other === key || now >= account.until) continue;
      const share = outstanding(account, entry);
      sum.ratePerS += share.ratePerS;
      sum.concurrency += share.concurrency;
    }
    return sum;
  }
}

function keyOf(report: RenewParams): string {
  return `${report.vm}/${report.incarnation}`;
}

/** The largest share that the router may be using. */
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
