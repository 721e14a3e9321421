import type { Clock } from "../base/clock.ts";

const RETRIES_PER_REQUEST = 0.1;
const BASE_RETRIES_PER_MS = 10 / 1000;
// About one second of retries of a router at its target of 2,500 requests/s.
const MAX_RETRY_TOKENS = 250;
const INITIAL_RETRY_TOKENS = 10;

/**
 * Bounds retries per service to 10% of requests plus 10 per second, so that
 * retries do not multiply the load on a failing service.
 */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #buckets = new Map<string, { tokens: number; refilledAt: number }>();

  /**
   * @param clock - source of time
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Counts a caller's request.
   *
   * @param service - the request's service
   */
  onRequest(service: string): void {
    const bucket = this.#refilled(service);
    bucket.tokens = Math.min(
      MAX_RETRY_TOKENS,
      bucket.tokens + RETRIES_PER_REQUEST,
    );
  }

  /**
   * @param service - the request's service
   * @returns whether a retry is allowed; it is then taken from the budget
   */
  take(service: string): boolean {
    const bucket = this.#refilled(service);
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }

  #refilled(service: string): { tokens: number; refilledAt: number } {
    const now = this.#clock.now();
    let bucket = this.#buckets.get(service);
    if (bucket === undefined) {
      bucket = { tokens: INITIAL_RETRY_TOKENS, refilledAt: now };
      this.#buckets.set(service, bucket);
    }
    bucket.tokens = Math.min(
      MAX_RETRY_TOKENS,
      bucket.tokens + (now - bucket.refilledAt) * BASE_RETRIES_PER_MS,
    );
    bucket.refilledAt = now;
    return bucket;
  }
}
