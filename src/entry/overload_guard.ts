import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";

type Options = {
  clock: Clock;
  logger: Logger;
  /** Delay of a timer that counts as late, in milliseconds. */
  maxTimerDelayMs: number;
};

const TICK_MS = 20;
// This many late ticks in a row mean a queue of work, not one pause.
const LATE_TICKS = 5;

/**
 * Notices that the process has more work than processor time, by timers that
 * run late. Without it, an overloaded router answered after up to 12 s or not
 * at all, since requests waited in queues that no limit counts.
 */
export class OverloadGuard {
  readonly #opts: Options;
  #lateTicks = 0;

  /**
   * @param opts - source of time, log, and the delay that is borne
   * @param signal - ends the observation
   */
  constructor(opts: Options, signal: AbortSignal) {
    this.#opts = opts;
    void this.#watch(signal);
  }

  /**
   * @returns whether new requests should be refused now
   */
  get overloaded(): boolean {
    return this.#lateTicks >= LATE_TICKS;
  }

  async #watch(signal: AbortSignal): Promise<void> {
    const { clock, logger, maxTimerDelayMs } = this.#opts;
    let expectedAt = clock.now() + TICK_MS;
    while (!signal.aborted) {
      await clock.sleep(TICK_MS, signal);
      const now = clock.now();
      const delayMs = now - expectedAt;
      const before = this.overloaded;
      this.#lateTicks = delayMs > maxTimerDelayMs ? this.#lateTicks + 1 : 0;
      expectedAt = now + TICK_MS;
      if (before === this.overloaded) continue;
      const seen = { delayMs: Math.round(delayMs), maxTimerDelayMs };
      if (before) logger.info(seen, "overload ended, requests are taken");
      else logger.warn(seen, "timers are late, requests are refused");
    }
  }
}
