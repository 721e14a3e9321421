/** Random source with a seed (mulberry32) and the faults of a simulation. */
export class RegionFaults {
  /** Probability that a message or an answer is lost. */
  loss = 0;
  /** Longest delay of a message, in milliseconds. */
  maxDelayMs = 5;
  #state: number;

  constructor(seed: number) {
    this.#state = seed;
  }

  /** @returns a number from 0 to below 1 */
  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(this.#state ^ (this.#state >>> 15), 1 | this.#state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }

  lost(): boolean {
    return this.next() < this.loss;
  }

  delayMs(): number {
    return this.next() * this.maxDelayMs;
  }

  pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.next() * items.length)]!;
  }
}
