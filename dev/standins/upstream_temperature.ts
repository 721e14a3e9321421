import { randomUUID } from "node:crypto";
import { systemClock } from "../../src/base/system_clock.ts";

/** Cold start of an upstream stand-in. */
export class UpstreamTemperature {
  boot = randomUUID();
  #cold: boolean;
  #warmAt = Infinity;
  #tokens = 1;
  #refilledAt = systemClock.now();

  /**
   * @param cfg - whether it starts cold, the requests a second that it bears
   * while cold (with a burst of one second), and the time to warm up
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
   * @returns whether the upstream is cold now
   */
  isCold(): boolean {
    if (this.#cold && systemClock.now() >= this.#warmAt) this.#cold = false;
    return this.#cold;
  }

  /** Goes into cold start under a new boot id. */
  restart(): void {
    this.boot = randomUUID();
    this.#cold = true;
    this.#warmAt = Infinity;
    this.#tokens = this.cfg.ratePerS;
    this.#refilledAt = systemClock.now();
  }

  /**
   * Counts one request against what a cold upstream bears.
   *
   * @returns whether the upstream bears it
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
