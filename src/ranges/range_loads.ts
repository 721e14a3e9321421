const KEY_COUNT = 65_536;
/**
 * Rate assumed for all keys in addition to the observed one, as a fraction of
 * it, because keys without recent requests may receive some.
 */
const IDLE_RATE_FRACTION = 0.2;
/** Rate assumed for all keys together if there are no requests. */
const MIN_IDLE_RATE_PER_S = 1;

/** Computes the load of key ranges from the request rates of keys. */
export class RangeLoads {
  readonly #keys: readonly number[];
  readonly #cumulativePerS: readonly number[];
  readonly #idlePerSPerKey: number;
  /** Requests per second for all keys. */
  readonly totalPerS: number;

  /**
   * @param rates - keys and their requests per second, in ascending order of
   * keys
   */
  constructor(rates: readonly (readonly [number, number])[]) {
    this.#keys = rates.map(([key]) => key);
    const sums = [0];
    for (const [, rate] of rates) sums.push((sums.at(-1) ?? 0) + rate);
    this.#cumulativePerS = sums;
    const observed = sums.at(-1) ?? 0;
    const idle = MIN_IDLE_RATE_PER_S + IDLE_RATE_FRACTION * observed;
    this.#idlePerSPerKey = idle / KEY_COUNT;
    this.totalPerS = observed + idle;
  }

  /**
   * @param first - first key
   * @param last - last key
   * @returns requests per second for the keys from `first` to `last`
   */
  ratePerS(first: number, last: number): number {
    const from = lowerBound(this.#keys, first);
    const to = lowerBound(this.#keys, last + 1);
    const observed = (this.#cumulativePerS[to] ?? 0) -
      (this.#cumulativePerS[from] ?? 0);
    return observed + (last - first + 1) * this.#idlePerSPerKey;
  }

  /**
   * @param first - first key
   * @param last - largest key that may be returned
   * @param perS - requests per second that the part is to have
   * @returns the last key of the shortest part that starts at `first` and has
   * this load; `last` if no part has it
   */
  lastKeyOfPart(first: number, last: number, perS: number): number {
    let low = first;
    let high = last;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.ratePerS(first, middle) < perS) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

function lowerBound(keys: readonly number[], key: number): number {
  let low = 0;
  let high = keys.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((keys[middle] ?? Infinity) < key) low = middle + 1;
    else high = middle;
  }
  return low;
}
