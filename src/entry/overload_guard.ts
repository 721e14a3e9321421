import type { Clock } from "../base/clock.ts";

const TICK_MS = 20;
// Five ticks in a row that are this late mean a queue of work, not one pause.
const LATE_MS = 60;
const LATE_TICKS = 5;

/**
 * Notices that the process has more work than processor time, by timers that
 * run late. Without it, an overloaded router answered after up to 12 s or not
 * at all, since requests waited in queues that no limit counts.
 */
export class OverloadGuard {
  #lateTicks = 0;

  /**
   * @param clock - source of time
   * @param signal - ends the observation
   */
  constructor(clock: Clock, signal: AbortSignal) {
    void this.#watch(clock, signal);
  }

  /**
   * @returns whether new requests should be refused now
   */
  get overloaded(): boolean {
    return this.#lateTicks >= LATE_TICKS;
  }

  async #watch(clock: Clock, signal: AbortSignal): Promise<void> {
    let expectedAt = clock.now() + TICK_MS;
    while (!signal.aborted) {
      await clock.sleep(TICK_MS, signal);
      const now = clock.now();
      const isLate = now - expectedAt > LATE_MS;
      this.#lateTicks = isLate ? this.#lateTicks + 1 : 0;
      expectedAt = now + TICK_MS;
    }
  }
}
