import type { Clock } from "../base/clock.ts";

const RETRIES_PER_REQUEST = 0.1;
const RETRIES_PER_MS = 10 / 1000;
// About one second of retries of a router at its target of 2,500 requests/s.
const MAX_TOKENS = 250;
const INITIAL_TOKENS = 10;

/**
 * Bounds retries to 10% of requests plus 10 a second for each service, so that
 * retries do not multiply the load of a service that fails.
 */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #buckets = new Map<string, { tokens: number; at: number }>();

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
    bucket.tokens = Math.min(MAX_TOKENS, bucket.tokens + RETRIES_PER_REQUEST);
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

  #refilled(service: string): { tokens: number; at: number } {
    const now = this.#clock.now();
    let bucket = this.#buckets.get(service);
    if (bucket === undefined) {
      bucket = { tokens: INITIAL_TOKENS, at: now };
      this.#buckets.set(service, bucket);
    }
    bucket.tokens = Math.min(
      MAX_TOKENS,
      bucket.tokens + (now - bucket.at) * RETRIES_PER_MS,
    );
    bucket.at = now;
    return bucket;
  }
}
