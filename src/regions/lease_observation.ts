import type { LeaseRead } from "./lease_read.ts";

/**
 * Since when a lease row has not changed, which shows that its holder has
 * stopped renewing.
 */
export class LeaseObservation {
  readonly #ttlMs: number;
  #observed:
    | { revision: number; firstAt: number; lastAt: number }
    | undefined;

  /**
   * @param ttlMs - TTL of the lease, in milliseconds
   */
  constructor(ttlMs: number) {
    this.#ttlMs = ttlMs;
  }

  /**
   * @returns when the present revision was seen first; undefined without reads
   */
  get since(): number | undefined {
    return this.#observed?.firstAt;
  }

  /**
   * @returns when a read may show that the holder has stopped renewing
   */
  get endsAt(): number {
    return (this.since ?? 0) + this.#ttlMs;
  }

  /** @param read - what the store has answered */
  add(read: LeaseRead): void {
    const last = this.#observed;
    if (
      last?.revision !== read.revision ||
      // After a gap the holder, too, may just have reconnected to the store.
      read.receivedAt - last.lastAt > this.#ttlMs
    ) {
      this.#observed = {
        revision: read.revision,
        firstAt: read.receivedAt,
        lastAt: read.receivedAt,
      };
    } else {
      last.lastAt = read.receivedAt;
    }
  }

  /** Begins anew with the next read. */
  reset(): void {
    this.#observed = undefined;
  }

  /**
   * @param read - the last read
   * @returns whether the row has been the same for one TTL
   */
  isExpired(read: LeaseRead): boolean {
    return this.#observed !== undefined && read.sentAt >= this.endsAt;
  }
}
