import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import type { Clock } from "../../src/base/clock.ts";
import type { ManualClock } from "./manual_clock.ts";

/**
 * Clock of one simulated process, which can be paused and killed. It has its
 * own origin. While the process is paused, no timer fires and no message
 * arrives.
 */
export class SimulatedProcess implements Clock {
  readonly #base: ManualClock;
  readonly #offsetMs: number;
  readonly #resumed = new ChangeNotifier();
  readonly #ended = new AbortController();
  #paused = false;

  constructor(base: ManualClock, offsetMs: number) {
    this.#base = base;
    this.#offsetMs = offsetMs;
  }

  /** Aborts when the process is killed. */
  get signal(): AbortSignal {
    return this.#ended.signal;
  }

  now(): number {
    return this.#base.now() + this.#offsetMs;
  }

  wallTime(): Date {
    return this.#base.wallTime();
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    // The base clock may keep a listener on the signal it is given; this
    // signal is discarded after the sleep.
    const done = new AbortController();
    const end = () => done.abort();
    if (signal?.aborted === true) end();
    signal?.addEventListener("abort", end);
    await this.#base.sleep(ms, done.signal);
    signal?.removeEventListener("abort", end);
    await this.untilRunning();
  }

  /** Waits for simulated time to pass, even while the process is paused. */
  async sleepEvenIfPaused(ms: number): Promise<void> {
    await this.#base.sleep(ms);
  }

  /**
   * Waits until the process is resumed or killed; returns at once if it is not
   * paused.
   */
  async untilRunning(): Promise<void> {
    while (this.#paused && !this.signal.aborted) {
      await this.#resumed.next(this.signal);
    }
  }

  pause(): void {
    this.#paused = true;
  }

  resume(): void {
    this.#paused = false;
    this.#resumed.notify();
  }

  kill(): void {
    this.#ended.abort();
  }
}
