import type { Clock } from "../base/clock.ts";

type Counter = {
  digest: string;
  weight: number;
  /** Weight taken over from the key that had the counter before. */
  inherited: number;
};

const COUNTERS = 64;
const AVERAGING_MS = 5000;
/** A younger tracker would report single requests as high rates. */
const MIN_AGE_MS = 1000;
/** Weights grow with time and are scaled down before they overflow. */
const MAX_EXPONENT = 100;

/**
 * Space-saving sketch of the busiest keys of one upstream. Instead of decaying
 * all counters, later requests weigh more (forward decay), which leaves the
 * order of counters unchanged between requests.
 */
export class HotKeyTracker {
  readonly #clock: Clock;
  readonly #startedAt: number;
  readonly #counters = new Map<string, Counter>();
  #landmark: number;
  #total = 0;

  /**
   * @param clock - time of the requests
   */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAt = clock.now();
    this.#landmark = this.#startedAt;
  }

  /**
   * Counts one request.
   *
   * @param digest - digest of the request's key
   */
  add(digest: string): void {
    const weight = this.#presentWeight();
    this.#total += weight;
    const known = this.#counters.get(digest);
    if (known !== undefined) {
      known.weight += weight;
      return;
    }
    let inherited = 0;
    if (this.#counters.size >= COUNTERS) {
      const least = this.#least();
      this.#counters.delete(least.digest);
      inherited = least.weight;
    }
    this.#counters.set(digest, {
      digest,
      weight: inherited + weight,
      inherited,
    });
  }

  /**
   * @param minShare - part of the upstream's requests, from 0 to 1
   * @param minPerS - least rate, requests a second
   * @param always - digests to report whatever their rate is
   * @returns keys that certainly carry more than that, with lower bounds of
   * their rates in requests a second
   */
  hot(
    minShare: number,
    minPerS: number,
    always: ReadonlySet<string>,
  ): { digest: string; ratePerS: number }[] {
    const perS = this.#perSecondOfWeight();
    return [...this.#counters.values()].flatMap((counter) => {
      const certain = counter.weight - counter.inherited;
      const ratePerS = certain * perS;
      const hot = certain > minShare * this.#total && ratePerS >= minPerS;
      return hot || always.has(counter.digest)
        ? [{ digest: counter.digest, ratePerS }]
        : [];
    });
  }

  #least(): Counter {
    let least: Counter | undefined;
    for (const counter of this.#counters.values()) {
      if (least === undefined || counter.weight < least.weight) {
        least = counter;
      }
    }
    if (least === undefined) throw new Error("the tracker has no counters");
    return least;
  }

  #presentWeight(): number {
    const now = this.#clock.now();
    const exponent = (now - this.#landmark) / AVERAGING_MS;
    if (exponent <= MAX_EXPONENT) return Math.exp(exponent);
    const scale = Math.exp(-exponent);
    for (const counter of this.#counters.values()) {
      counter.weight *= scale;
      counter.inherited *= scale;
    }
    this.#total *= scale;
    this.#landmark = now;
    return 1;
  }

  #perSecondOfWeight(): number {
    const age = Math.max(this.#clock.now() - this.#startedAt, MIN_AGE_MS);
    const seen = 1 - Math.exp(-age / AVERAGING_MS);
    return 1 / (this.#presentWeight() * seen * AVERAGING_MS / 1000);
  }
}
