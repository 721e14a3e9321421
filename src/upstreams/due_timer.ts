import type { Clock } from "../base/clock.ts";

type Options = {
  clock: Clock;
  signal: AbortSignal;
  /** Handles what is due and returns the next due time, or `Infinity`. */
  onDue: () => number;
};

/** One timer for many due times; stores only the earliest one. */
export class DueTimer {
  readonly #options: Options;
  #dueAt = Infinity;
  #sleep: AbortController | undefined;

  /**
   * @param options - clock, signal that stops the timer, and the handler
   */
  constructor(options: Options) {
    this.#options = options;
    options.signal.addEventListener("abort", () => this.#sleep?.abort(), {
      once: true,
    });
  }

  /**
   * Schedules the handler.
   *
   * @param at - latest time at which the handler runs
   */
  set(at: number): void {
    if (at >= this.#dueAt || this.#options.signal.aborted) return;
    this.#dueAt = at;
    this.#sleep?.abort();
    const sleep = new AbortController();
    this.#sleep = sleep;
    void this.#wait(at, sleep.signal);
  }

  async #wait(at: number, signal: AbortSignal): Promise<void> {
    const { clock, onDue } = this.#options;
    await clock.sleep(Math.max(0, at - clock.now()), signal);
    if (signal.aborted) return;
    this.#dueAt = Infinity;
    this.set(onDue());
  }
}
