import { randomUUID } from "node:crypto";
import { systemClock } from "../../src/base/system_clock.ts";

/**
 * Cold start of an upstream stand-in: a limit on its request rate until it is
 * warm.
 */
export class UpstreamColdStart {
  boot = randomUUID();
  #cold: boolean;
  #warmAt = Infinity;
  #tokens = 1;
  #refilledAt = systemClock.now();

  /**
   * @param cfg - whether it starts cold, the limit in requests per second while
   * cold (a token bucket with a burst of one second), and the time from the
   * first request until warm, in milliseconds
   */
  constructor(
    private readonly cfg: {
      startsCold: boolean;
      ratePerS: number;
      warmUpMs: number;
    },
  ) {
    this.#cold = cfg.startsCold;
    this.#tokens = this.cfg.ratePerS;
  }

  /**
   * @returns whether the upstream is still cold
   */
  isCold(): boolean {
    if (this.#cold && systemClock.now() >= this.#warmAt) this.#cold = false;
    return this.#cold;
  }

  /** Restarts into cold start, with a new boot id. */
  restart(): void {
    this.boot = randomUUID();
    this.#cold = true;
    this.#warmAt = Infinity;
    this.#tokens = this.cfg.ratePerS;
    this.#refilledAt = systemClock.now();
  }

  /**
   * Counts one request against the rate limit of a cold upstream. The first one
   * starts the warm-up.
   *
   * @returns whether the request is within the limit
   */
  admit(): boolean {
    if (!this.isCold()) return true;
    const now = systemClock.now();
    if (this.#warmAt === Infinity) this.#warmAt = now + this.cfg.warmUpMs;
    const refill = (now - this.#refilledAt) / 1000 * this.cfg.ratePerS;
    this.#tokens = Math.min(this.cfg.ratePerS, this.#tokens + refill);
    this.#refilledAt = now;
    this.#tokens -= 1;
    return this.#tokens >= 0;
  }
}
