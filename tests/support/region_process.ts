import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import type { Clock } from "../../src/base/clock.ts";
import type { ManualClock } from "./manual_clock.ts";

/**
 * The clock of one simulated process: its own origin, and no timer fires and no
 * message arrives while the process is paused.
 */
export class RegionProcess implements Clock {
  readonly #base: ManualClock;
  readonly #offset: number;
  readonly #resumed = new ChangeNotifier();
  readonly #ended = new AbortController();
  #paused = false;

  constructor(base: ManualClock, offset: number) {
    this.#base = base;
    this.#offset = offset;
  }

  /** Aborts when the process is killed. */
  get signal(): AbortSignal {
    return this.#ended.signal;
  }

  now(): number {
    return this.#base.now() + this.#offset;
  }

  wallTime(): Date {
    return this.#base.wallTime();
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    // The manual clock leaves a listener on the signal for each sleep.
    const done = new AbortController();
    const end = () => done.abort();
    if (signal?.aborted === true) end();
    signal?.addEventListener("abort", end);
    await this.#base.sleep(ms, done.signal);
    signal?.removeEventListener("abort", end);
    await this.running();
  }

  /** Waits in real time, whether or not the process is paused. */
  async elapse(ms: number): Promise<void> {
    await this.#base.sleep(ms);
  }

  /** Resolves at once unless the process is paused. */
  async running(): Promise<void> {
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
