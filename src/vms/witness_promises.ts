import type { Clock } from "../base/clock.ts";

/** A promise that this router gave as a witness. */
type IssuedPromise = { until: number; version: number };

/**
 * Tracks the promises that this router gave to routers that asked it as their
 * witness: to acquire no coordinator lease and confirm no catalogue version.
 */
export class WitnessPromises {
  readonly #clock: Clock;
  #issued: IssuedPromise[] = [];

  /**
   * @param clock - clock by which promises end
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @returns whether a promise is in force
   */
  get hasPromiseInForce(): boolean {
    return this.#inForce().length > 0;
  }

  /**
   * @returns the lowest catalogue version of the promises in force; Infinity
   * if there is none
   */
  get lowestPromisedVersion(): number {
    return Math.min(Infinity, ...this.#inForce().map(({ version }) => version));
  }

  /**
   * @param durationMs - how long the promise is in force, in milliseconds
   * @param version - catalogue version that this router has when it promises
   */
  issue(durationMs: number, version: number): void {
    this.#issued = this.#inForce();
    this.#issued.push({ until: this.#clock.now() + durationMs, version });
  }

  #inForce(): IssuedPromise[] {
    const now = this.#clock.now();
    return this.#issued.filter((promise) => promise.until > now);
  }
}
