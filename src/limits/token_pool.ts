import type { z } from "zod";
import type { Clock } from "../base/clock.ts";
import type { Tenant } from "../tenants/tenant.ts";
import type { QuotaBound } from "./quota_bound.ts";
import type { ShareRequest } from "./share_request.ts";
import { tenantAllowance } from "./tenant_allowance.ts";
import { shortId } from "./short_id.ts";
import { TimeMark } from "./time_mark.ts";
import { TokenBucketShare } from "./token_bucket_share.ts";
import type { TokenRequest } from "./token_request.ts";

type TokenParams = z.infer<typeof TokenRequest.params>;
type TokenResponse = z.infer<typeof TokenRequest.result>;
type ShareParams = z.infer<typeof ShareRequest.params>;
type ShareResponse = z.infer<typeof ShareRequest.result>;
type Grant = { id: string; count: number };
type Account = {
  seq: number;
  /** Monotonic milliseconds after which the VM spends none of the tokens. */
  endsAt: number;
  /** Tokens that the VM may have, by tenant. */
  tokens: Map<string, number>;
  lastGrants: Grant[];
};

/**
 * Lifetime of tokens. Longer than several requests of a VM, which renew it, and
 * short enough that a VM that is cut off soon stops admitting requests.
 */
const TOKEN_LIFE_MS = 3000;
/**
 * Fraction of a share that is kept for waiting requests. VMs get tokens in
 * advance only from the rest, so that tokens of VMs without traffic do not
 * cause refusals elsewhere.
 */
const RESERVED_FRACTION = 0.5;
const MIN_RESERVED = 10;
/** A request may wait this long for a token that is about to arise. */
const MAX_TOKEN_WAIT_MS = 100;
/** Bounds the requests of VMs for tenants that have used up their share. */
const MIN_DRY_MS = 100;
const MAX_DRY_MS = 1000;
/** How long a tenant counts as new, so that its first share is not empty. */
const NEW_TENANT_MS = 2000;
/**
 * How long a removed tenant is remembered; above the window for which its
 * earlier requests count and the lifetime of its tokens.
 */
const MIN_RETIRED_MS = 10_000;

/**
 * Holds this VM's leased shares of tenants' limits and gives tokens of them to
 * the VMs of its region.
 */
export class TokenPool {
  readonly #incarnation: string;
  readonly #clock: Clock;
  readonly #buckets = new Map<string, TokenBucketShare>();
  readonly #accounts = new Map<string, Account>();
  /** Removed tenants, with the monotonic time of their removal. */
  readonly #retired = new Map<string, number>();
  #lease: { sent: TimeMark; ttlMs: number } | undefined;
  #inFlight: { seq: number; sent: TimeMark; full: boolean } | undefined;
  #seq = 0;
  #answeredSeq = 0;
  #term = "";
  #fullWanted = false;
  #configured = false;
  /** Monotonic milliseconds of the last request for tokens. */
  #askedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param incarnation - identifies this process
   * @param clock - source of time
   */
  constructor(incarnation: string, clock: Clock) {
    this.#incarnation = incarnation;
    this.#clock = clock;
  }

  /** @returns whether this holder has shares that have not expired */
  get leased(): boolean {
    return this.#leaseMs > 0;
  }

  /** @returns whether VMs have asked this holder for tokens recently */
  get inUse(): boolean {
    return this.#clock.now() - this.#askedAt < TOKEN_LIFE_MS;
  }

  /** @returns ids of the tenants that have a limit */
  get tenantIds(): string[] {
    return [...this.#buckets.keys()].filter((id) => !this.#retired.has(id));
  }

  /**
   * @returns whether the last response came from a new leader, which needs to
   * know all shares at once
   */
  get fullWanted(): boolean {
    return this.#fullWanted;
  }

  /**
   * @param tenants - tenants of the configuration in force
   * @param bound - bound on their requests
   */
  setTenants(tenants: readonly Tenant[], bound: QuotaBound): void {
    const now = this.#clock.now();
    const newUntil = this.#configured ? now + NEW_TENANT_MS : now;
    this.#configured = true;
    const removed = new Set(this.#buckets.keys());
    for (const tenant of tenants) {
      if (tenant.ratePerS === 0) continue;
      const id = shortId(tenant.name);
      removed.delete(id);
      this.#retired.delete(id);
      const allowance = tenantAllowance(tenant, bound);
      const bucket = this.#buckets.get(id);
      if (bucket !== undefined) bucket.setAllowance(allowance, now);
      else {
        this.#buckets.set(id, new TokenBucketShare(allowance, now, newUntil));
      }
    }
    for (const id of removed) {
      this.#buckets.get(id)?.setAllowance({ ratePerS: 0, capacity: 0 }, now);
      if (!this.#retired.has(id)) this.#retired.set(id, now);
    }
  }

  /** Forgets VMs whose tokens have expired and tenants removed long ago. */
  sweep(): void {
    const now = this.#clock.now();
    this.#checkLease();
    for (const [vm, account] of this.#accounts) {
      if (now >= account.endsAt) this.#drop(vm, account);
    }
    for (const [id, at] of this.#retired) {
      if (now - at < MIN_RETIRED_MS) continue;
      this.#retired.delete(id);
      this.#buckets.delete(id);
      for (const { tokens } of this.#accounts.values()) tokens.delete(id);
    }
  }

  /** @returns parameters of the next request to the leader */
  beginShareRequest(): ShareParams {
    const now = this.#clock.now();
    this.#checkLease();
    const full = this.#fullWanted;
    this.#fullWanted = false;
    this.#inFlight = {
      seq: ++this.#seq,
      sent: new TimeMark(this.#clock),
      full,
    };
    const entries: ShareParams["entries"] = [];
    for (const [id, bucket] of this.#buckets) {
      bucket.advance(now);
      const { fraction, usedFraction } = bucket;
      const demand = bucket.demandFraction(now);
      if (demand > 0 || usedFraction > fraction || full && usedFraction > 0) {
        entries.push([id, demand, usedFraction]);
      }
    }
    return {
      holder: this.#incarnation,
      seq: this.#seq,
      answeredSeq: this.#answeredSeq,
      term: this.#term,
      entries,
    };
  }

  /**
   * Applies the leader's response. A response to any but the last request is
   * dropped, as the leader takes it as not applied.
   *
   * @param seq - `seq` of the request
   * @param response - the leader's response; undefined if there was none
   * @returns whether the shares were renewed
   */
  endShareRequest(seq: number, response: ShareResponse | undefined): boolean {
    if (this.#inFlight?.seq !== seq) return false;
    const { sent, full } = this.#inFlight;
    this.#inFlight = undefined;
    if (response?.leader !== true) return false;
    this.#checkLease();
    if (response.term !== this.#term && !full && this.#lease !== undefined) {
      // The new leader does not know all shares of this holder.
      this.#term = response.term;
      this.#fullWanted = true;
      return false;
    }
    const now = this.#clock.now();
    this.#term = response.term;
    this.#answeredSeq = seq;
    // Without any share, VMs had better ask another holder.
    this.#lease = response.shares.length === 0 && this.#lease === undefined
      ? undefined
      : { sent, ttlMs: response.ttlMs };
    const shares = new Map(response.shares);
    for (const [id, bucket] of this.#buckets) {
      bucket.setFraction(shares.get(id) ?? 0, now);
    }
    this.#checkLease();
    return true;
  }

  /**
   * Gives tokens to a VM.
   *
   * @param params - the VM's request
   * @returns the response
   */
  onTokenRequest(params: TokenParams): TokenResponse {
    const now = this.#clock.now();
    this.#askedAt = now;
    this.#checkLease();
    const lifeMs = Math.min(TOKEN_LIFE_MS, Math.floor(this.#leaseMs));
    const holder = this.#incarnation;
    const none = { holder, lifeMs: 0, fresh: false, grants: [] };
    if (lifeMs <= 0) return none;
    let account = this.#accounts.get(params.vm);
    if (account !== undefined && params.seq <= account.seq) return none;
    const isKnown = account !== undefined && now < account.endsAt &&
      params.holder === holder;
    if (account !== undefined && !isKnown) {
      this.#drop(params.vm, account);
      account = undefined;
    }
    if (account === undefined) {
      account = { seq: 0, endsAt: 0, tokens: new Map(), lastGrants: [] };
      this.#accounts.set(params.vm, account);
    }
    // The VM drops responses that it no longer waits for.
    if (params.applied !== account.seq) this.#takeBack(account);
    if (params.full) this.#settleOthers(account, params);
    const grants: TokenResponse["grants"] = [];
    account.lastGrants = [];
    for (const entry of params.entries) {
      const grant = this.#grant(account, entry, now);
      if (grant !== undefined) grants.push(grant);
    }
    account.seq = params.seq;
    account.endsAt = now + lifeMs;
    return { holder, lifeMs, fresh: !isKnown, grants };
  }

  #grant(
    account: Account,
    entry: TokenParams["entries"][number],
    now: number,
  ): TokenResponse["grants"][number] | undefined {
    const [id, unspent, needed, ahead, refused, returned] = entry;
    const bucket = this.#buckets.get(id);
    if (bucket === undefined || this.#retired.has(id)) {
      return needed > 0 ? [id, 0, MAX_DRY_MS, 0] : undefined;
    }
    bucket.advance(now);
    const before = account.tokens.get(id) ?? 0;
    const kept = Math.min(unspent, before);
    const back = Math.min(returned, before - kept);
    const spent = before - kept - back;
    bucket.settle(spent);
    bucket.restore(back);
    bucket.recordDemand(now, spent + refused);
    const count = bucket.take(needed, 0);
    const reserve = Math.max(
      MIN_RESERVED,
      bucket.capacity * RESERVED_FRACTION,
    );
    const extra = count < needed ? 0 : bucket.take(ahead, reserve);
    const total = count + extra;
    if (kept + total > 0) account.tokens.set(id, kept + total);
    else account.tokens.delete(id);
    if (total > 0) account.lastGrants.push({ id, count: total });
    if (total === 0 && needed === 0) return undefined;
    const dryMs = count < needed ? this.#dryMs(bucket, now) : 0;
    return [id, total, dryMs, bucket.fraction];
  }

  /** Returns for how long a VM should refuse requests; 0 to ask again soon. */
  #dryMs(bucket: TokenBucketShare, now: number): number {
    const ms = bucket.msUntilToken;
    if (ms <= MAX_TOKEN_WAIT_MS && bucket.isCalm(now)) return 0;
    return Math.round(Math.min(MAX_DRY_MS, Math.max(MIN_DRY_MS, ms)));
  }

  /** Takes back the tokens of a response that the VM has not applied. */
  #takeBack(account: Account): void {
    for (const { id, count } of account.lastGrants) {
      const tokens = account.tokens.get(id) ?? 0;
      const back = Math.min(count, tokens);
      account.tokens.set(id, tokens - back);
      this.#buckets.get(id)?.restore(back);
    }
    account.lastGrants = [];
  }

  /** Settles tokens of tenants that a complete request does not contain. */
  #settleOthers(account: Account, { entries }: TokenParams): void {
    const listed = new Set(entries.map(([id]) => id));
    for (const [id, count] of account.tokens) {
      if (listed.has(id)) continue;
      this.#buckets.get(id)?.settle(count);
      account.tokens.delete(id);
    }
  }

  #drop(vm: string, account: Account): void {
    for (const [id, count] of account.tokens) {
      this.#buckets.get(id)?.settle(count);
    }
    this.#accounts.delete(vm);
  }

  get #leaseMs(): number {
    if (this.#lease === undefined) return 0;
    return this.#lease.ttlMs - this.#lease.sent.ageMs;
  }

  /** Tokens live no longer than the lease, so that none remain after it. */
  #checkLease(): void {
    if (this.#lease === undefined || this.#leaseMs > 0) return;
    this.#lease = undefined;
    this.#accounts.clear();
    for (const bucket of this.#buckets.values()) bucket.expire();
  }
}
