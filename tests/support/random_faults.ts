/**
 * Seeded random number generator (mulberry32) that decides on the faults of a
 * simulation.
 */
export class RandomFaults {
  /** Probability that a message or an answer is lost. */
  lossProbability = 0;
  /** Longest delay of a message, in milliseconds. */
  maxDelayMs = 5;
  #state: number;

  constructor(seed: number) {
    this.#state = seed;
  }

  /** @returns a number of at least 0 and less than 1 */
  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(this.#state ^ (this.#state >>> 15), 1 | this.#state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }

  /** @returns whether the next message is lost */
  isLost(): boolean {
    return this.next() < this.lossProbability;
  }

  /** @returns the delay of the next message, in milliseconds */
  nextDelayMs(): number {
    return this.next() * this.maxDelayMs;
  }

  pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.next() * items.length)]!;
  }
}
