const KEYS = 65_536;
/** Keys without recent requests share this part of the observed rate. */
const IDLE_PART = 0.2;
/** Rate of all keys together when there are no requests. */
const IDLE_PER_S = 1;

/** The load that ranges put on their owners. */
export class RangeLoads {
  readonly #keys: readonly number[];
  readonly #sums: readonly number[];
  readonly #idlePerKey: number;
  /** Requests a second for all keys. */
  readonly total: number;

  /**
   * @param rates - keys and their requests a second, in ascending order of keys
   */
  constructor(rates: readonly (readonly [number, number])[]) {
    this.#keys = rates.map(([key]) => key);
    const sums = [0];
    for (const [, rate] of rates) sums.push((sums.at(-1) ?? 0) + rate);
    this.#sums = sums;
    const observed = sums.at(-1) ?? 0;
    const idle = IDLE_PER_S + IDLE_PART * observed;
    this.#idlePerKey = idle / KEYS;
    this.total = observed + idle;
  }

  /**
   * @param first - first key
   * @param last - last key
   * @returns requests a second for the keys from `first` to `last`
   */
  of(first: number, last: number): number {
    const from = lowerBound(this.#keys, first);
    const to = lowerBound(this.#keys, last + 1);
    const observed = (this.#sums[to] ?? 0) - (this.#sums[from] ?? 0);
    return observed + (last - first + 1) * this.#idlePerKey;
  }

  /**
   * @param first - first key
   * @param last - last key that may be taken
   * @param perS - wanted requests a second
   * @returns the last key of the least part from `first` on with that load
   */
  cut(first: number, last: number, perS: number): number {
    let low = first;
    let high = last;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.of(first, middle) < perS) low = middle + 1;
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
