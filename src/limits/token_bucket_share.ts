import { DemandMeter } from "./demand_meter.ts";

type Allowance = { ratePerS: number; capacity: number };

/** Long enough that demand of a few requests per second is not mostly noise. */
const DEMAND_TIME_CONSTANT_MS = 3000;
const MS_PER_S = 1000;
/** Demand below this fraction of the limit is reported as 0. */
const MIN_DEMAND_FRACTION = 0.001;
const SHARE_DIGITS = 4;
/** Standard deviations of a second's requests for which there should be room. */
const DEVIATIONS = 1.5;
/** `allocateShares` raises demands by this factor. */
const LEADER_HEADROOM_FACTOR = 1.25;

/**
 * A holder's share of the token bucket of one tenant. Tokens that VMs have and
 * may spend count as part of its content, so that the tokens that exist never
 * exceed the share of the capacity, and arise no faster than at the share of the
 * rate.
 */
export class TokenBucketShare {
  readonly #demand: DemandMeter;
  #allowance: Allowance;
  #fraction = 0;
  #available = 0;
  #outstanding = 0;
  #advancedTo: number;
  /** Until when the first share starts with tokens. */
  readonly #newUntil: number;

  /**
   * @param allowance - rate and capacity of the whole bucket
   * @param now - monotonic milliseconds
   * @param newUntil - the tenant is new, so that no VM has admitted a request of
   * it: a first share until this time starts half full instead of empty
   */
  constructor(allowance: Allowance, now: number, newUntil: number) {
    this.#allowance = allowance;
    this.#demand = new DemandMeter(now, DEMAND_TIME_CONSTANT_MS);
    this.#advancedTo = now;
    this.#newUntil = newUntil;
  }

  /** @returns this holder's share of the limit, 0 to 1 */
  get fraction(): number {
    return this.#fraction;
  }

  /**
   * @returns the share of the limit that is in use: above `fraction` while VMs
   * have more tokens than a lowered share allows
   */
  get usedFraction(): number {
    const { capacity } = this.#allowance;
    const used = capacity > 0 ? this.#outstanding / capacity : 0;
    return round(Math.max(this.#fraction, used));
  }

  /** @returns tokens that the share can contain */
  get capacity(): number {
    return this.#allowance.capacity * this.#fraction;
  }

  /**
   * @param now - monotonic milliseconds
   * @returns the demand to report, relative to the limit. Low demand is reported
   * higher, since the share that it needs exceeds the mean by more
   */
  demandFraction(now: number): number {
    const { ratePerS } = this.#allowance;
    if (ratePerS === 0) return 0;
    const perS = this.#demand.ratePerS(now);
    if (perS < MIN_DEMAND_FRACTION * ratePerS) return 0;
    const needed = perS + DEVIATIONS * Math.sqrt(perS);
    return round(Math.max(perS, needed / LEADER_HEADROOM_FACTOR) / ratePerS);
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the requests measured stay below the share
   */
  isCalm(now: number): boolean {
    const { ratePerS } = this.#allowance;
    return this.#demand.ratePerS(now) <= ratePerS * this.#fraction;
  }

  /**
   * @param allowance - rate and capacity from now on
   * @param now - monotonic milliseconds
   */
  setAllowance(allowance: Allowance, now: number): void {
    this.advance(now);
    this.#allowance = allowance;
    this.advance(now);
  }

  /**
   * @param fraction - share of the limit from now on
   * @param now - monotonic milliseconds
   */
  setFraction(fraction: number, now: number): void {
    this.advance(now);
    const isFirst = this.#fraction === 0 && fraction > 0;
    this.#fraction = fraction;
    // A share that another holder may have used before starts empty.
    if (isFirst && now < this.#newUntil) this.#available = this.capacity / 2;
    this.advance(now);
  }

  /** Removes all tokens, as the lease on the share has expired. */
  expire(): void {
    this.#fraction = 0;
    this.#available = 0;
    this.#outstanding = 0;
  }

  /**
   * Adds the tokens that have arisen.
   *
   * @param now - monotonic milliseconds
   */
  advance(now: number): void {
    const { ratePerS } = this.#allowance;
    const arisen = ratePerS * this.#fraction * (now - this.#advancedTo) /
      MS_PER_S;
    this.#advancedTo = now;
    this.#available = Math.min(
      Math.max(0, this.capacity - this.#outstanding),
      this.#available + arisen,
    );
  }

  /**
   * @param now - monotonic milliseconds
   * @param count - requests that were admitted or refused
   */
  recordDemand(now: number, count: number): void {
    this.#demand.recordArrival(now, count);
  }

  /**
   * Gives tokens to a VM.
   *
   * @param wanted - number of tokens
   * @param reserve - tokens that must remain
   * @returns number of tokens given
   */
  take(wanted: number, reserve: number): number {
    const count = Math.max(
      0,
      Math.min(wanted, Math.floor(this.#available - reserve)),
    );
    this.#available -= count;
    this.#outstanding += count;
    return count;
  }

  /**
   * @param count - tokens of a VM that were spent or have expired
   */
  settle(count: number): void {
    this.#outstanding = Math.max(0, this.#outstanding - count);
  }

  /**
   * @param count - tokens of a VM that it has not spent and will not spend
   */
  restore(count: number): void {
    this.settle(count);
    this.#available = Math.min(
      Math.max(0, this.capacity - this.#outstanding),
      this.#available + count,
    );
  }

  /** @returns milliseconds until a token is available; Infinity if never */
  get msUntilToken(): number {
    const ratePerS = this.#allowance.ratePerS * this.#fraction;
    return Math.max(0, 1 - this.#available) * MS_PER_S / ratePerS;
  }
}

function round(fraction: number): number {
  return Number(fraction.toFixed(SHARE_DIGITS));
}
