import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import type { Clock } from "../../src/base/clock.ts";

/**
 * The clock of one simulated process. While the process is paused, time goes
 * on, but none of its timers fires.
 */
export class PausableClock implements Clock {
  readonly #base: Clock;
  readonly #offsetMs: number;
  readonly #resumed = new ChangeNotifier();
  #paused = false;
  wallStepMs = 0;

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
    return new Date(this.#base.wallTime().getTime() + this.wallStepMs);
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.#base.sleep(ms, signal);
    if (signal?.aborted !== true) await this.untilRunning();
  }

  /**
   * @returns a promise that resolves while the process is not paused
   */
  async untilRunning(): Promise<void> {
    while (this.#paused) await this.#resumed.next();
  }
}
