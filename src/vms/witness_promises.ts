import type { Clock } from "../base/clock.ts";

/** A promise that this router gave as a witness. */
type Promised = { until: number; version: number };

/**
 * Promises of this router to others that ask it as their witness: neither to
 * take a coordinator lease nor to confirm a catalogue version.
 */
export class WitnessPromises {
  readonly #clock: Clock;
  #promised: Promised[] = [];

  /**
   * @param clock - time of promises
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @returns whether a promise is in force
   */
  get bound(): boolean {
    return this.#inForce().length > 0;
  }

  /**
   * @returns the lowest catalogue version of the promises in force; Infinity
   * without one
   */
  get lowestVersion(): number {
    return Math.min(Infinity, ...this.#inForce().map(({ version }) => version));
  }

  /**
   * @param forMs - how long the promise holds, in milliseconds
   * @param version - catalogue version that this router has now
   */
  give(forMs: number, version: number): void {
    this.#promised = this.#inForce();
    this.#promised.push({ until: this.#clock.now() + forMs, version });
  }

  #inForce(): Promised[] {
    const now = this.#clock.now();
    return this.#promised.filter((promise) => promise.until > now);
  }
}
