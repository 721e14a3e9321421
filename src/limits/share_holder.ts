import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../base/clock.ts";
import type { Refusal } from "../base/refusal.ts";
import type { RenewGrant } from "../regions/renew_grant.ts";
import type { RenewParams } from "../regions/renew_params.ts";
import { DemandMeter } from "./demand_meter.ts";
import type { LimitHost } from "./limit_host.ts";
import { TokenBucket } from "./token_bucket.ts";

const MAX_WAIT_MS = 500;
/** Requests of one entry that may wait for a share. */
const MAX_WAITING = 1000;
/** Least demand that is reported; a last request decays to it in about 7 s. */
const MIN_DEMAND_PER_S = 0.001;

type Permit = { release: () => void };
type Waiter = { wake: (admitted: boolean) => void };
type Held = {
  bucket: TokenBucket;
  concurrency: number;
  inFlight: number;
  waiting: Set<Waiter>;
  demand: DemandMeter;
  /** Ends the wait for the next token; undefined if nothing waits for it. */
  timer: AbortController | undefined;
};

/** Admits requests within the limit shares that the coordinator leased. */
export class ShareHolder implements LimitHost {
  readonly #clock: Clock;
  readonly #signal: AbortSignal;
  readonly #entries = new Map<string, Held>();
  #leaseEndsAt = Number.NEGATIVE_INFINITY;

  /**
   * @param clock - source of time
   * @param signal - ends all waits
   */
  constructor(clock: Clock, signal: AbortSignal) {
    this.#clock = clock;
    this.#signal = signal;
  }

  /**
   * @returns whether shares are held now; without them nothing is admitted
   */
  get leased(): boolean {
    return this.#clock.now() < this.#leaseEndsAt;
  }

  /**
   * Waits for a share for up to 500 ms.
   *
   * @param entry - entry of the request
   * @param opts - latest end of the wait on the router's clock, and a signal
   * that ends it
   * @returns a permit to release once, when the request has ended, or
   * `limit_exceeded`
   */
  async admit(
    entry: string,
    opts: { until: number; signal: AbortSignal },
  ): Promise<Result<Permit, Refusal>> {
    const now = this.#clock.now();
    const held = this.#held(entry);
    held.demand.arrived(now);
    held.demand.observed(held.inFlight + held.waiting.size + 1);
    const ms = Math.min(MAX_WAIT_MS, opts.until - now);
    const admitted = held.waiting.size === 0 && this.#take(held) ||
      held.waiting.size < MAX_WAITING && ms > 0 &&
        await this.#wait(held, ms, opts.signal);
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
        held.inFlight--;
        this.#wake(held);
      },
    });
  }

  /** {@inheritDoc LimitHost.collect} */
  collect(): RenewParams["limits"] {
    const now = this.#clock.now();
    const valid = now < this.#leaseEndsAt;
    const limits: RenewParams["limits"] = [];
    for (const [entry, held] of this.#entries) {
      const demandPerS = held.demand.ratePerS(now);
      const inUse = held.inFlight + held.waiting.size;
      const share = valid ? held.concurrency : 0;
      if (demandPerS < MIN_DEMAND_PER_S && inUse === 0 && share === 0) {
        continue;
      }
      limits.push({
        entry,
        demandPerS: demandPerS < MIN_DEMAND_PER_S ? 0 : demandPerS,
        demandConcurrency: held.demand.takePeak(inUse),
        heldRatePerS: valid ? held.bucket.ratePerS : 0,
        // A reduced share stays in use until its requests have ended.
        heldConcurrency: Math.max(share, held.inFlight),
      });
    }
    return limits;
  }

  /** {@inheritDoc LimitHost.apply} */
  apply(shares: RenewGrant["shares"], leaseEndsAt: number): void {
    const now = this.#clock.now();
    for (const held of this.#entries.values()) this.#settle(held, now);
    this.#leaseEndsAt = leaseEndsAt;
    const byEntry = new Map(shares.map((share) => [share.entry, share]));
    for (const entry of byEntry.keys()) this.#held(entry);
    for (const [entry, held] of this.#entries) {
      const share = byEntry.get(entry);
      held.bucket.setRate(share?.ratePerS ?? 0);
      held.concurrency = share?.concurrency ?? 0;
      // The next token comes at another time now.
      held.timer?.abort();
      held.timer = undefined;
      this.#wake(held);
    }
  }

  #held(entry: string): Held {
    let held = this.#entries.get(entry);
    if (held === undefined) {
      const now = this.#clock.now();
      held = {
        bucket: new TokenBucket(now),
        concurrency: 0,
        inFlight: 0,
        waiting: new Set(),
        demand: new DemandMeter(now),
        timer: undefined,
      };
      this.#entries.set(entry, held);
    }
    return held;
  }

  /** Earns tokens for the time in which the lease was valid. */
  #settle(held: Held, now: number): void {
    held.bucket.earn(Math.min(now, this.#leaseEndsAt));
    held.bucket.skip(now);
  }

  #take(held: Held): boolean {
    const now = this.#clock.now();
    this.#settle(held, now);
    if (
      now >= this.#leaseEndsAt || held.inFlight >= held.concurrency ||
      held.bucket.ratePerS <= 0 || !held.bucket.take()
    ) return false;
    held.inFlight++;
    return true;
  }

  async #wait(
    held: Held,
    ms: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const admitted = new Promise<boolean>((resolve) => {
      const ended = new AbortController();
      const waiter: Waiter = {
        wake: (result) => {
          held.waiting.delete(waiter);
          signal.removeEventListener("abort", onAbort);
          ended.abort();
          resolve(result);
        },
      };
      const onAbort = () => {
        waiter.wake(false);
      };
      held.waiting.add(waiter);
      signal.addEventListener("abort", onAbort, { once: true });
      void this.#clock.sleep(ms, ended.signal).then(() => {
        if (!ended.signal.aborted) waiter.wake(false);
      });
      if (signal.aborted) onAbort();
    });
    this.#wake(held);
    return await admitted;
  }

  /** Admits waiting requests in order of arrival. */
  #wake(held: Held): void {
    for (const waiter of held.waiting) {
      if (!this.#take(held)) break;
      waiter.wake(true);
    }
    if (held.waiting.size > 0) void this.#planWake(held);
  }

  /** Wakes again when the next token is there; other causes wake at once. */
  async #planWake(held: Held): Promise<void> {
    const ms = held.bucket.msToToken();
    const valid = this.#clock.now() + ms < this.#leaseEndsAt;
    if (held.timer !== undefined || !Number.isFinite(ms) || !valid) return;
    // Tokens are there, so that the wait is for a request in flight to end.
    if (ms <= 0) return;
    const timer = new AbortController();
    held.timer = timer;
    await this.#clock.sleep(ms, timer.signal);
    if (timer.signal.aborted || this.#signal.aborted) return;
    held.timer = undefined;
    this.#wake(held);
  }
}
