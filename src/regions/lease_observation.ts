import type { LeaseRead } from "./lease_read.ts";

/**
 * Tracks how long a lease row has not changed. Without a change for one TTL
 * its holder has stopped renewing.
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
   * @returns the time at which the current revision was first read, in
   * monotonic milliseconds; undefined without reads
   */
  get firstSeenAt(): number | undefined {
    return this.#observed?.firstAt;
  }

  /**
   * @returns the time from which a read may show that the holder has stopped
   * renewing, in monotonic milliseconds
   */
  get endsAt(): number {
    return (this.firstSeenAt ?? 0) + this.#ttlMs;
  }

  /**
   * Records a read.
   *
   * @param read - the row as the store returned it
   */
  add(read: LeaseRead): void {
    const last = this.#observed;
    if (
      last?.revision !== read.revision ||
      // After a gap the holder may have reconnected to the store only now, as
      // this router has.
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

  /** Discards the reads; the next one starts a new observation. */
  reset(): void {
    this.#observed = undefined;
  }

  /**
   * @param read - the last read
   * @returns whether the row has been unchanged for one TTL
   */
  isExpired(read: LeaseRead): boolean {
    return this.#observed !== undefined && read.sentAt >= this.endsAt;
  }
}
