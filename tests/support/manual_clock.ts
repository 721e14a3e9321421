import type { Clock } from "../../src/base/clock.ts";

type Sleeper = { at: number; wake: () => void };

/** A clock whose time passes only during calls of `advance`. */
export class ManualClock implements Clock {
  #now = 0;
  #sleepers: Sleeper[] = [];
  /** Wall clock minus the time that has passed, in milliseconds. */
  wallClockOffsetMs = 0;

  now(): number {
    return this.#now;
  }

  wallTime(): Date {
    return new Date(
      Date.UTC(2026, 0, 1) + this.#now + this.wallClockOffsetMs,
    );
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
   * Advances the time and resolves each sleep that ends by then, in the order of
   * their ends. Tasks that a resolved sleep makes ready run before the next
   * sleep is resolved.
   *
   * @param ms - time to advance, in milliseconds
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
