import type { Clock } from "../base/clock.ts";

type Counter = {
  digest: string;
  weight: number;
  /** Weight of the evicted key whose counter this key took over. */
  inherited: number;
};

const MAX_COUNTERS = 64;
const DECAY_TIME_CONSTANT_MS = 5000;
/** Over a shorter time, single requests would count as high rates. */
const MIN_AGE_MS = 1000;
/** Weights grow exponentially and are scaled down before they overflow. */
const MAX_WEIGHT_EXPONENT = 100;

/**
 * Tracks the most requested keys of one upstream with the Space-Saving
 * algorithm. Instead of decaying all counters, later requests get a higher
 * weight (forward decay), so the order of counters does not change between
 * requests.
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
    const weight = this.#currentWeight();
    this.#total += weight;
    const existing = this.#counters.get(digest);
    if (existing !== undefined) {
      existing.weight += weight;
      return;
    }
    let inherited = 0;
    if (this.#counters.size >= MAX_COUNTERS) {
      const smallest = this.#smallestCounter();
      this.#counters.delete(smallest.digest);
      inherited = smallest.weight;
    }
    this.#counters.set(digest, {
      digest,
      weight: inherited + weight,
      inherited,
    });
  }

  /**
   * @param minFraction - minimum fraction of the upstream's requests, 0 to 1
   * @param minRatePerS - minimum rate in requests per second
   * @param always - digests to return regardless of their rate, if tracked
   * @returns keys that certainly exceed both minimums, with lower bounds of
   * their rates in requests per second
   */
  hot(
    minFraction: number,
    minRatePerS: number,
    always: ReadonlySet<string>,
  ): { digest: string; ratePerS: number }[] {
    const perS = this.#perSecondOfWeight();
    return [...this.#counters.values()].flatMap((counter) => {
      const lowerBound = counter.weight - counter.inherited;
      const ratePerS = lowerBound * perS;
      const hot = lowerBound > minFraction * this.#total &&
        ratePerS >= minRatePerS;
      return hot || always.has(counter.digest)
        ? [{ digest: counter.digest, ratePerS }]
        : [];
    });
  }

  #smallestCounter(): Counter {
    let smallest: Counter | undefined;
    for (const counter of this.#counters.values()) {
      if (smallest === undefined || counter.weight < smallest.weight) {
        smallest = counter;
      }
    }
    if (smallest === undefined) throw new Error("the tracker has no counters");
    return smallest;
  }

  #currentWeight(): number {
    const now = this.#clock.now();
    const exponent = (now - this.#landmark) / DECAY_TIME_CONSTANT_MS;
    if (exponent <= MAX_WEIGHT_EXPONENT) return Math.exp(exponent);
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
    const observedFraction = 1 - Math.exp(-age / DECAY_TIME_CONSTANT_MS);
    return 1 /
      (this.#currentWeight() * observedFraction * DECAY_TIME_CONSTANT_MS /
        1000);
  }
}
