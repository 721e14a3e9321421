import type { z } from "zod";
import type { Clock } from "../base/clock.ts";
import { DemandMeter } from "./demand_meter.ts";
import { TimeMark } from "./time_mark.ts";
import type { TokenRequest } from "./token_request.ts";

type Params = z.infer<typeof TokenRequest.params>;
type Response = z.infer<typeof TokenRequest.result>;
type TenantState = {
  demand: DemandMeter;
  /** Monotonic milliseconds of the last request. */
  usedAt: number;
  /** Requests that wait for a token. */
  waiting: number;
  /** Refused requests that no holder has been told of. */
  refused: number;
  /** Monotonic milliseconds until which holders have no token. */
  dryUntil: number;
  /** Monotonic milliseconds from which tokens in advance are asked for again. */
  aheadAfter: number;
  /** The holder's share of the limit, 0 to 1. */
  share: number;
};
/** Tokens of one holder. */
type Source = {
  url: string;
  holder: string;
  /** When the request was sent from which `lifeMs` counts. */
  sent: TimeMark;
  lifeMs: number;
  /** `seq` of the last request to this holder whose response was applied. */
  applied: number;
  /** Whether the holder knows `reported`: the last request succeeded. */
  inStep: boolean;
  tokens: Map<string, number>;
  /** Tokens that the holder believes this VM has. */
  reported: Map<string, number>;
};
type InFlight = {
  seq: number;
  url: string;
  source: Source | undefined;
  sent: TimeMark;
  /** Unspent tokens in the request, by tenant. */
  unspent: Map<string, number>;
  refused: Map<string, number>;
};

/** A tenant without requests for this long gives its tokens back. */
const IDLE_MS = 5000;
/** Tokens for this time of a tenant's usual traffic are kept in advance. */
const STOCK_MS = 1000;
/** A holder that had no tokens to give in advance is not asked on each call. */
const AHEAD_RETRY_MS = 5000;
const MS_PER_S = 1000;
/** Smaller stocks are refilled by the regular requests. */
const MIN_REFILL_TARGET = 4;
const REFILL_FRACTION = 0.25;

/**
 * Tokens that this VM has of tenants, each valid until it expires. Only tenants
 * with recent requests use memory.
 */
export class TokenStock {
  readonly #vm: string;
  readonly #clock: Clock;
  readonly #tenants = new Map<string, TenantState>();
  #sources: Source[] = [];
  #seq = 0;
  #inFlight: InFlight | undefined;

  /**
   * @param vm - incarnation of this process
   * @param clock - source of time
   */
  constructor(vm: string, clock: Clock) {
    this.#vm = vm;
    this.#clock = clock;
  }

  /** @returns number of tenants with recent requests */
  get tenantCount(): number {
    return this.#tenants.size;
  }

  /** @returns whether requests wait for tokens */
  get hasWaiting(): boolean {
    for (const { waiting } of this.#tenants.values()) {
      if (waiting > 0) return true;
    }
    return false;
  }

  /**
   * Counts a request of a tenant and takes a token for it.
   *
   * @param id - id of the tenant
   * @returns whether there was a token
   */
  admit(id: string): boolean {
    const now = this.#clock.now();
    const state = this.#stateOf(id);
    state.demand.recordArrival(now);
    state.usedAt = now;
    return this.take(id);
  }

  /**
   * Takes a token for a request that was counted before.
   *
   * @param id - id of the tenant
   * @returns whether there was a token
   */
  take(id: string): boolean {
    for (const source of this.#sources) {
      const count = source.tokens.get(id) ?? 0;
      if (count === 0 || !isAlive(source)) continue;
      source.tokens.set(id, count - 1);
      return true;
    }
    return false;
  }

  /**
   * @param id - id of the tenant
   * @returns milliseconds for which holders are known to have no token, and the
   * holder's share of the limit
   */
  dryness(id: string): { dryMs: number; share: number } {
    const state = this.#tenants.get(id);
    if (state === undefined) return { dryMs: 0, share: 0 };
    const dryMs = Math.max(0, state.dryUntil - this.#clock.now());
    return { dryMs, share: state.share };
  }

  /**
   * @param id - id of a tenant
   * @param change - 1 when a request starts to wait, -1 when it ends to wait
   */
  addWaiting(id: string, change: 1 | -1): void {
    this.#stateOf(id).waiting += change;
  }

  /** @param id - id of a tenant of which a request was refused */
  addRefused(id: string): void {
    this.#stateOf(id).refused++;
  }

  /**
   * @param id - id of a tenant
   * @returns whether a busy tenant has so few tokens that the next regular
   * request may be too late
   */
  isLow(id: string): boolean {
    const state = this.#tenants.get(id);
    if (state === undefined) return false;
    const target = this.#target(state);
    return target >= MIN_REFILL_TARGET && this.dryness(id).dryMs === 0 &&
      this.#count(id) < target * REFILL_FRACTION;
  }

  /**
   * Starts a request. A response to an earlier one is not applied any more.
   *
   * @param url - address of the holder
   * @returns parameters of the request
   */
  beginRequest(url: string): Params {
    this.#removeExpired();
    const source = this.#sources.find((candidate) => candidate.url === url);
    const full = source?.inStep !== true;
    if (source !== undefined) source.inStep = false;
    const inFlight: InFlight = {
      seq: ++this.#seq,
      url,
      source,
      sent: new TimeMark(this.#clock),
      unspent: new Map(),
      refused: new Map(),
    };
    this.#inFlight = inFlight;
    const entries: Params["entries"] = [];
    const ids = new Set([
      ...this.#tenants.keys(),
      ...source?.tokens.keys() ?? [],
      ...source?.reported.keys() ?? [],
    ]);
    for (const id of ids) {
      const entry = this.#entry(id, { inFlight, full });
      if (entry !== undefined) entries.push(entry);
    }
    return {
      vm: this.#vm,
      seq: inFlight.seq,
      ...(source === undefined ? {} : { holder: source.holder }),
      applied: source?.applied ?? 0,
      full,
      entries,
    };
  }

  /**
   * Applies a response, if it belongs to the last request.
   *
   * @param seq - `seq` of the request
   * @param response - response of the holder; undefined if there was none
   * @returns whether tokens were renewed or granted
   */
  endRequest(seq: number, response: Response | undefined): boolean {
    const inFlight = this.#inFlight;
    if (inFlight?.seq !== seq) return false;
    this.#inFlight = undefined;
    if (response === undefined || response.lifeMs <= 0) {
      for (const [id, count] of inFlight.refused) {
        this.#stateOf(id).refused += count;
      }
      return false;
    }
    const source = this.#sourceOf(inFlight, response);
    source.sent = inFlight.sent;
    source.lifeMs = response.lifeMs;
    source.applied = seq;
    source.inStep = true;
    for (const [id, count] of inFlight.unspent) source.reported.set(id, count);
    if (response.fresh) {
      source.tokens.clear();
      source.reported.clear();
    }
    const now = this.#clock.now();
    for (const [id, count, dryMs, share] of response.grants) {
      if (count > 0) {
        source.tokens.set(id, (source.tokens.get(id) ?? 0) + count);
        source.reported.set(id, (source.reported.get(id) ?? 0) + count);
      }
      const state = this.#tenants.get(id);
      if (state === undefined) continue;
      state.share = share;
      if (count > 0) state.aheadAfter = 0;
      state.dryUntil = dryMs === 0 ? 0 : now + dryMs;
    }
    return true;
  }

  #entry(
    id: string,
    { inFlight, full }: { inFlight: InFlight; full: boolean },
  ): Params["entries"][number] | undefined {
    const { source } = inFlight;
    const now = this.#clock.now();
    const state = this.#tenants.get(id);
    const isIdle = state === undefined ||
      state.waiting === 0 && now - state.usedAt > IDLE_MS;
    let unspent = source?.tokens.get(id) ?? 0;
    let returned = 0;
    if (isIdle) {
      returned = unspent;
      unspent = 0;
      source?.tokens.delete(id);
      if (state?.refused === 0) this.#tenants.delete(id);
    }
    const needed = state?.waiting ?? 0;
    const isDry = state !== undefined && now < state.dryUntil;
    const ahead = state === undefined || isIdle || isDry ||
        now < state.aheadAfter
      ? 0
      : Math.max(0, this.#target(state) - this.#count(id));
    if (state !== undefined && ahead > 0) {
      state.aheadAfter = now + AHEAD_RETRY_MS;
    }
    const refused = state?.refused ?? 0;
    if (state !== undefined) state.refused = 0;
    inFlight.refused.set(id, refused);
    const isChanged = unspent !== (source?.reported.get(id) ?? 0) ||
      needed + ahead + refused + returned > 0;
    if (!isChanged && !(full && unspent > 0)) return undefined;
    inFlight.unspent.set(id, unspent);
    return [id, unspent, needed, ahead, refused, returned];
  }

  #sourceOf({ url, source }: InFlight, { holder }: Response): Source {
    if (source?.holder === holder) return source;
    const created: Source = {
      url,
      holder,
      sent: new TimeMark(this.#clock),
      lifeMs: 0,
      applied: 0,
      inStep: false,
      tokens: new Map(),
      reported: new Map(),
    };
    // Tokens of an earlier process at this address stay valid, but cannot be
    // renewed.
    if (source !== undefined) source.url = "";
    this.#sources.push(created);
    return created;
  }

  #removeExpired(): void {
    this.#sources = this.#sources.filter((source) => isAlive(source));
  }

  #count(id: string): number {
    let count = 0;
    for (const source of this.#sources) {
      if (isAlive(source)) count += source.tokens.get(id) ?? 0;
    }
    return count;
  }

  #target(state: TenantState): number {
    const perS = state.demand.ratePerS(this.#clock.now());
    return Math.max(1, Math.ceil(perS * STOCK_MS / MS_PER_S));
  }

  #stateOf(id: string): TenantState {
    let state = this.#tenants.get(id);
    if (state === undefined) {
      const now = this.#clock.now();
      state = {
        demand: new DemandMeter(now),
        usedAt: now,
        waiting: 0,
        refused: 0,
        dryUntil: 0,
        aheadAfter: 0,
        share: 0,
      };
      this.#tenants.set(id, state);
    }
    return state;
  }
}

/** Whether the tokens may be spent. */
function isAlive({ sent, lifeMs }: Source): boolean {
  return sent.ageMs < lifeMs;
}
