import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../base/clock.ts";
import type { Refusal } from "../base/refusal.ts";
import type { RenewGrant } from "../regions/renew_grant.ts";
import type { RenewParams } from "../regions/renew_params.ts";
import { DemandMeter } from "./demand_meter.ts";
import type { LimitHost } from "./limit_host.ts";
import { TokenBucket } from "./token_bucket.ts";

const MAX_SHARE_WAIT_MS = 500;
/** Bounds the requests of one entry that wait for a share. */
const MAX_WAITING_PER_ENTRY = 1000;
/** Lower demand is reported as 0; the last request decays to it in about 7 s. */
const MIN_REPORTED_DEMAND_PER_S = 0.001;

type Permit = { release: () => void };
type Waiter = { endWait: (admitted: boolean) => void };
type EntryState = {
  bucket: TokenBucket;
  concurrency: number;
  inFlight: number;
  waiting: Set<Waiter>;
  demand: DemandMeter;
  /** Cancels the wait for the next token; undefined if no request waits. */
  tokenWait: AbortController | undefined;
};

/** Admits requests within the limit shares that the coordinator has leased. */
export class ShareHolder implements LimitHost {
  readonly #clock: Clock;
  readonly #signal: AbortSignal;
  readonly #entries = new Map<string, EntryState>();
  #leaseEndsAt = Number.NEGATIVE_INFINITY;

  /**
   * @param clock - source of time
   * @param signal - stops the admission of waiting requests at new tokens
   */
  constructor(clock: Clock, signal: AbortSignal) {
    this.#clock = clock;
    this.#signal = signal;
  }

  /**
   * @returns whether the lease on shares is valid; without it no request is
   * admitted
   */
  get leased(): boolean {
    return this.#clock.now() < this.#leaseEndsAt;
  }

  /**
   * Waits for a share for up to 500 ms.
   *
   * @param entry - entry of the request
   * @param opts - `until`, the latest end of the wait on the router's clock, and
   * a `signal` that cancels the wait
   * @returns a permit to release once, when the request has ended, or a refusal
   * with code `limit_exceeded`
   */
  async admit(
    entry: string,
    opts: { until: number; signal: AbortSignal },
  ): Promise<Result<Permit, Refusal>> {
    const now = this.#clock.now();
    const state = this.#stateOf(entry);
    state.demand.recordArrival(now);
    state.demand.recordConcurrency(state.inFlight + state.waiting.size + 1);
    const ms = Math.min(MAX_SHARE_WAIT_MS, opts.until - now);
    const admitted = state.waiting.size === 0 && this.#tryAdmit(state) ||
      state.waiting.size < MAX_WAITING_PER_ENTRY && ms > 0 &&
        await this.#waitForShare(state, ms, opts.signal);
    if (!admitted) {
      return err({
        code: "limit_exceeded",
        outcome: "not_run",
        message: "the limits of the entry are used up",
      });
    }
    let released = false;
    return ok({
      release: () => {
        if (released) return;
        released = true;
        state.inFlight--;
        this.#admitWaiting(state);
      },
    });
  }

  /** {@inheritDoc LimitHost.collect} */
  collect(): RenewParams["limits"] {
    const now = this.#clock.now();
    const valid = now < this.#leaseEndsAt;
    const limits: RenewParams["limits"] = [];
    for (const [entry, state] of this.#entries) {
      const demandPerS = state.demand.ratePerS(now);
      const inUse = state.inFlight + state.waiting.size;
      const share = valid ? state.concurrency : 0;
      if (
        demandPerS < MIN_REPORTED_DEMAND_PER_S && inUse === 0 && share === 0
      ) {
        continue;
      }
      limits.push({
        entry,
        demandPerS: demandPerS < MIN_REPORTED_DEMAND_PER_S ? 0 : demandPerS,
        demandConcurrency: state.demand.takePeakConcurrency(inUse),
        heldRatePerS: valid ? state.bucket.ratePerS : 0,
        // After a reduction, slots stay in use until their requests have ended.
        heldConcurrency: Math.max(share, state.inFlight),
      });
    }
    return limits;
  }

  /** {@inheritDoc LimitHost.apply} */
  apply(shares: RenewGrant["shares"], leaseEndsAt: number): void {
    const now = this.#clock.now();
    for (const state of this.#entries.values()) this.#earnTokens(state, now);
    this.#leaseEndsAt = leaseEndsAt;
    const byEntry = new Map(shares.map((share) => [share.entry, share]));
    for (const entry of byEntry.keys()) this.#stateOf(entry);
    for (const [entry, state] of this.#entries) {
      const share = byEntry.get(entry);
      state.bucket.setRate(share?.ratePerS ?? 0);
      state.concurrency = share?.concurrency ?? 0;
      // The new rate changes when the next token is earned.
      state.tokenWait?.abort();
      state.tokenWait = undefined;
      this.#admitWaiting(state);
    }
  }

  #stateOf(entry: string): EntryState {
    let state = this.#entries.get(entry);
    if (state === undefined) {
      const now = this.#clock.now();
      state = {
        bucket: new TokenBucket(now),
        concurrency: 0,
        inFlight: 0,
        waiting: new Set(),
        demand: new DemandMeter(now),
        tokenWait: undefined,
      };
      this.#entries.set(entry, state);
    }
    return state;
  }

  /** Adds tokens for the time up to `now` in which the lease was valid. */
  #earnTokens(state: EntryState, now: number): void {
    state.bucket.earn(Math.min(now, this.#leaseEndsAt));
    state.bucket.skip(now);
  }

  #tryAdmit(state: EntryState): boolean {
    const now = this.#clock.now();
    this.#earnTokens(state, now);
    if (
      now >= this.#leaseEndsAt || state.inFlight >= state.concurrency ||
      state.bucket.ratePerS <= 0 || !state.bucket.tryTake()
    ) return false;
    state.inFlight++;
    return true;
  }

  async #waitForShare(
    state: EntryState,
    ms: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const admitted = new Promise<boolean>((resolve) => {
      const ended = new AbortController();
      const waiter: Waiter = {
        endWait: (result) => {
          state.waiting.delete(waiter);
          signal.removeEventListener("abort", onAbort);
          ended.abort();
          resolve(result);
        },
      };
      const onAbort = () => {
        waiter.endWait(false);
      };
      state.waiting.add(waiter);
      signal.addEventListener("abort", onAbort, { once: true });
      void this.#clock.sleep(ms, ended.signal).then(() => {
        if (!ended.signal.aborted) waiter.endWait(false);
      });
      if (signal.aborted) onAbort();
    });
    this.#admitWaiting(state);
    return await admitted;
  }

  /** Admits waiting requests in order of arrival. */
  #admitWaiting(state: EntryState): void {
    for (const waiter of state.waiting) {
      if (!this.#tryAdmit(state)) break;
      waiter.endWait(true);
    }
    if (state.waiting.size > 0) void this.#admitAtNextToken(state);
  }

  /**
   * Admits waiting requests when the next token is earned. A new share or a
   * request that ends admits them at once.
   */
  async #admitAtNextToken(state: EntryState): Promise<void> {
    const ms = state.bucket.msUntilToken();
    const valid = this.#clock.now() + ms < this.#leaseEndsAt;
    if (state.tokenWait !== undefined || !Number.isFinite(ms) || !valid) return;
    // A token is available, so requests wait for a slot or a new share instead.
    if (ms <= 0) return;
    const timer = new AbortController();
    state.tokenWait = timer;
    await this.#clock.sleep(ms, timer.signal);
    if (timer.signal.aborted || this.#signal.aborted) return;
    state.tokenWait = undefined;
    this.#admitWaiting(state);
  }
}
