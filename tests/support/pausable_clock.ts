import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import type { Clock } from "../../src/base/clock.ts";

/**
 * Clock of one simulated process. While the process is paused, time passes but
 * none of its timers fires.
 */
export class PausableClock implements Clock {
  readonly #base: Clock;
  readonly #offsetMs: number;
  readonly #resumed = new ChangeNotifier();
  #paused = false;
  /** Wall clock of this process minus wall clock of the base clock. */
  wallClockOffsetMs = 0;

  constructor(base: Clock, offsetMs: number) {
    this.#base = base;
    this.#offsetMs = offsetMs;
  }

  get paused(): boolean {
    return this.#paused;
  }

  set paused(paused: boolean) {
    this.#paused = paused;
    if (!paused) this.#resumed.notify();
  }

  now(): number {
    return this.#base.now() + this.#offsetMs;
  }

  wallTime(): Date {
    return new Date(this.#base.wallTime().getTime() + this.wallClockOffsetMs);
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.#base.sleep(ms, signal);
    if (signal?.aborted !== true) await this.untilRunning();
  }

  /**
   * @returns a promise that resolves at once if the process is not paused, and
   * when it is resumed otherwise
   */
  async untilRunning(): Promise<void> {
    while (this.#paused) await this.#resumed.next();
  }
}
