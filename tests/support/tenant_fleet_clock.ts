import type { Clock } from "../../src/base/clock.ts";

/**
 * Clock of one simulated process. While the VM is suspended, its monotonic time
 * stands still and its wall clock advances.
 */
export class TenantFleetClock implements Clock {
  readonly #time: () => number;
  readonly #offsetMs: number;
  #suspendedMs = 0;
  #suspendedAt: number | undefined;
  /** Planted fault: the wall clock stands still as well. */
  wallStops = false;

  constructor(time: () => number, offsetMs: number) {
    this.#time = time;
    this.#offsetMs = offsetMs;
  }

  suspend(): void {
    this.#suspendedAt = this.#time();
  }

  resume(): void {
    if (this.#suspendedAt === undefined) return;
    this.#suspendedMs += this.#time() - this.#suspendedAt;
    this.#suspendedAt = undefined;
  }

  now(): number {
    const until = this.#suspendedAt ?? this.#time();
    return until - this.#suspendedMs + this.#offsetMs;
  }

  wallTime(): Date {
    return new Date(this.wallStops ? this.now() : this.#time());
  }

  sleep(): Promise<void> {
    throw new Error("simulated processes do not sleep");
  }
}
