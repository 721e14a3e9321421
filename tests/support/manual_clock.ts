import type { Clock } from "../../src/base/clock.ts";

type Sleeper = { at: number; wake: () => void };

/** A clock that stands still until `advance` is called. */
export class ManualClock implements Clock {
  #now = 0;
  #sleepers: Sleeper[] = [];

  now(): number {
    return this.#now;
  }

  wallTime(): Date {
    return new Date(Date.UTC(2026, 0, 1) + this.#now);
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted === true) {
        resolve();
        return;
      }
      const stop = () => {
        this.#sleepers = this.#sleepers.filter((other) => other !== sleeper);
        resolve();
      };
      const wake = () => {
        signal?.removeEventListener("abort", stop);
        resolve();
      };
      const sleeper = { at: this.#now + ms, wake };
      this.#sleepers.push(sleeper);
      signal?.addEventListener("abort", stop, { once: true });
    });
  }

  /**
   * Moves time forward, waking sleepers in order. After each one, tasks that
   * became ready run before the next is woken.
   *
   * @param ms - how far to move, in milliseconds
   */
  async advance(ms: number): Promise<void> {
    const end = this.#now + ms;
    for (;;) {
      await new Promise((resolve) => setImmediate(resolve));
      this.#sleepers.sort((a, b) => a.at - b.at);
      const next = this.#sleepers[0];
      if (next === undefined || next.at > end) break;
      this.#sleepers.shift();
      this.#now = Math.max(this.#now, next.at);
      next.wake();
    }
    this.#now = end;
    await new Promise((resolve) => setImmediate(resolve));
  }
}
