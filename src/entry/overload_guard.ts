import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";

type Options = {
  clock: Clock;
  logger: Logger;
  /** Delay in milliseconds above which a timer counts as late. */
  maxTimerDelayMs: number;
};

const TICK_INTERVAL_MS = 20;
// Consecutive late ticks that indicate a backlog of work; one pause of the
// process makes only one tick late.
const LATE_TICKS_FOR_OVERLOAD = 5;

/**
 * Detects by late timers that the process has more work than CPU time. Without
 * this check, an overloaded router responded after up to 12 s or not at all,
 * because requests waited in queues that no limit counts.
 */
export class OverloadGuard {
  readonly #opts: Options;
  #lateTicks = 0;

  /**
   * @param opts - clock, log, and the tolerated delay of timers
   * @param signal - stops the observation
   */
  constructor(opts: Options, signal: AbortSignal) {
    this.#opts = opts;
    void this.#watch(signal);
  }

  /**
   * @returns whether new requests should be refused
   */
  get overloaded(): boolean {
    return this.#lateTicks >= LATE_TICKS_FOR_OVERLOAD;
  }

  async #watch(signal: AbortSignal): Promise<void> {
    const { clock, logger, maxTimerDelayMs } = this.#opts;
    let expectedAt = clock.now() + TICK_INTERVAL_MS;
    while (!signal.aborted) {
      await clock.sleep(TICK_INTERVAL_MS, signal);
      const now = clock.now();
      const delayMs = now - expectedAt;
      const before = this.overloaded;
      this.#lateTicks = delayMs > maxTimerDelayMs ? this.#lateTicks + 1 : 0;
      expectedAt = now + TICK_INTERVAL_MS;
      if (before === this.overloaded) continue;
      const fields = { delayMs: Math.round(delayMs), maxTimerDelayMs };
      if (before) logger.info(fields, "overload ended, accepting new requests");
      else logger.warn(fields, "timers fire late, refusing new requests");
    }
  }
}
