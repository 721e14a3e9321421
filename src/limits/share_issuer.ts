import type { z } from "zod";
import type { Clock } from "../base/clock.ts";
import type { LeaderLease } from "../ranges/leader_lease.ts";
import type { Share } from "./share.ts";
import { ShareLedger } from "./share_ledger.ts";
import type { ShareRequest } from "./share_request.ts";

type Options = {
  /** Incarnation of this process. */
  incarnation: string;
  lease: Pick<
    LeaderLease,
    | "confirmed"
    | "maySendOrders"
    | "renewalAgeMs"
    | "predecessorOrdersEndAt"
    | "term"
  >;
  /** @returns ids of the tenants that have a limit */
  tenantIds: () => readonly string[];
  clock: Clock;
};
type Params = z.infer<typeof ShareRequest.params>;
type Response = z.infer<typeof ShareRequest.result>;

/**
 * Longer than a change of the leader, so that holders keep their shares through
 * it: up to 0.7 s since the last renewal, 1.5 s until the lease has expired,
 * 1.1 s until the successor has read and written it, 0.7 s until the holders
 * have found it.
 */
const SHARE_TTL_MS = 5000;
/**
 * A leader that cannot reach the store renews shares, but moves none, for this
 * long after its last renewal of the lease. Its successor moves none for as long
 * and one lifetime of shares, unless the leader has stepped down. With the
 * lifetime, holders outlast 13 s without the store.
 */
const RENEWAL_GRACE_MS = 8000;
/** Shares are multiples of this, rounded down, to keep messages short. */
const SHARE_STEP = 1e-4;
/** The whole limit of a tenant; holders apply shares of it to its rate. */
const WHOLE: Share = { ratePerS: 1, concurrency: 0 };
/** `ShareLedger` waits one TTL unless the epoch is the first. */
const FIRST_EPOCH = 1;
const LATER_EPOCH = 2;
/** Never the epoch of a ledger: the holder has no response of this leader. */
const OTHER_EPOCH = 0;

/**
 * Divides the limits of tenants over the token holders while this VM is the
 * leader. The shares of a tenant that holders may be using never exceed 1.
 */
export class ShareIssuer {
  readonly #opts: Options;
  #term: LeaderLease["term"];
  #ledger: ShareLedger | undefined;
  #epoch: number = LATER_EPOCH;
  /** Newest request of each holder. */
  readonly #newest = new Map<string, { seq: number; at: number }>();

  /**
   * @param opts - lease that makes this VM the leader, and the tenants
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * @param params - request of a holder
   * @returns the holder's shares; none if this VM is not the leader
   */
  onRequest(params: Params): Response {
    const { lease, clock, incarnation, tenantIds } = this.#opts;
    const now = clock.now();
    const { term } = lease;
    const isRecent = lease.maySendOrders &&
      lease.renewalAgeMs < RENEWAL_GRACE_MS;
    if (term === undefined || !isRecent) return NOT_LEADER;
    const termName = `${incarnation}/${term.startedAt}`;
    let ledger = this.#ledger;
    if (ledger === undefined || this.#term !== term) {
      this.#term = term;
      this.#newest.clear();
      ledger = this.#startLedger(term.isFirst ? FIRST_EPOCH : LATER_EPOCH, {
        from: term.startedAt,
      });
    }
    // The store has lost the row of an earlier leader, whose shares may be held.
    const isOther = params.term !== "" && params.term !== termName;
    if (this.#epoch === FIRST_EPOCH && isOther) {
      ledger = this.#startLedger(LATER_EPOCH, { from: now });
    }
    const newest = this.#newest.get(params.holder);
    // A late or repeated request; the holder no longer waits for the response.
    if (newest !== undefined && params.seq <= newest.seq) return NOT_LEADER;
    this.#newest.set(params.holder, { seq: params.seq, at: now });
    for (const [holder, { at }] of this.#newest) {
      if (now - at > 2 * SHARE_TTL_MS) this.#newest.delete(holder);
    }
    const report = {
      vm: params.holder,
      incarnation: params.holder,
      seq: params.seq,
      answeredSeq: params.answeredSeq,
      coordinatorEpoch: params.term === termName ? this.#epoch : OTHER_EPOCH,
      limits: params.entries.map(([entry, demandPerS, heldRatePerS]) => ({
        entry,
        demandPerS,
        demandConcurrency: 0,
        heldRatePerS,
        heldConcurrency: 0,
      })),
    };
    ledger.accept(report, now);
    const limits = new Map(tenantIds().map((id) => [id, WHOLE]));
    // A predecessor may still renew shares, or a successor may do so.
    const predecessorEndsAt = Math.min(
      lease.predecessorOrdersEndAt,
      term.startedAt + RENEWAL_GRACE_MS,
    );
    const renewOnly = !lease.confirmed ||
      this.#epoch !== FIRST_EPOCH && now < predecessorEndsAt + SHARE_TTL_MS;
    const shares: Response["shares"] = [];
    for (const share of ledger.grant(report, limits, now, renewOnly)) {
      const rounded = Math.floor(share.ratePerS / SHARE_STEP) * SHARE_STEP;
      const fraction = Number(Math.min(1, rounded).toFixed(4));
      if (fraction > 0) shares.push([share.entry, fraction]);
    }
    return { leader: true, term: termName, ttlMs: SHARE_TTL_MS, shares };
  }

  #startLedger(epoch: number, { from }: { from: number }): ShareLedger {
    this.#epoch = epoch;
    this.#ledger = new ShareLedger({
      epoch,
      acquiredAt: from,
      ttlMs: SHARE_TTL_MS,
    });
    return this.#ledger;
  }
}

const NOT_LEADER: Response = { leader: false, term: "", ttlMs: 0, shares: [] };
