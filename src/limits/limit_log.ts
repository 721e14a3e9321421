import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { Tenant } from "../tenants/tenant.ts";

/** At most one line is written in this time. */
const LINE_INTERVAL_MS = 1000;

/** Logs refusals because of limits, at most one line a second. */
export class LimitLog {
  readonly #clock: Clock;
  readonly #logger: Logger;
  #loggedAt = Number.NEGATIVE_INFINITY;
  #unlogged = 0;

  /**
   * @param clock - source of time
   * @param logger - receives the lines
   */
  constructor(clock: Clock, logger: Logger) {
    this.#clock = clock;
    this.#logger = logger;
  }

  /**
   * Records that a request was refused.
   *
   * @param tenant - tenant of the request
   * @param details - `share`, the holder's share of the limit (0 to 1), and the
   * `reason`
   */
  onLimited(
    { name, ratePerS, burst }: Tenant,
    { share, reason }: { share: number; reason: string },
  ): void {
    const now = this.#clock.now();
    if (now - this.#loggedAt < LINE_INTERVAL_MS) {
      this.#unlogged++;
      return;
    }
    this.#loggedAt = now;
    this.#logger.warn(
      {
        tenant: name,
        ratePerS,
        burst,
        share,
        reason,
        unlogged: this.#unlogged,
      },
      "request refused by the limit of its tenant",
    );
    this.#unlogged = 0;
  }
}
