import type { Clock } from "../base/clock.ts";

/** A single lost message should not spread the tokens over two holders. */
const FAILURES_UNTIL_FALLBACK = 2;
/**
 * How long VMs stay with a holder that works after the relay of the region has
 * changed. A new leader often chooses other relays, and gives these no shares
 * until those of its predecessor have expired. VMs move one by one, so that the
 * shares follow the demand.
 */
const MIN_MOVE_DELAY_MS = 7000;
const MOVE_SPREAD_MS = 15_000;

type Urls = { relayUrl: string | undefined; leaderUrl: string | undefined };

/** Chooses the holder from which a VM takes tokens. */
export class HolderChoice {
  readonly #clock: Clock;
  readonly #random: () => number;
  #url: string | undefined;
  #moveAt: number | undefined;
  #failures = 0;

  /**
   * @param clock - source of time
   * @param random - returns a number of at least 0 and less than 1
   */
  constructor(clock: Clock, random: () => number) {
    this.#clock = clock;
    this.#random = random;
  }

  /**
   * @param urls - peer URLs of the region's relay and of the leader, as far as
   * known
   * @returns peer URL of the holder to ask; undefined if none is known
   */
  next({ relayUrl, leaderUrl }: Urls): string | undefined {
    const now = this.#clock.now();
    if (this.#failures >= FAILURES_UNTIL_FALLBACK) {
      this.#failures = 0;
      this.#moveAt = undefined;
      this.#url = this.#url === leaderUrl ? relayUrl : leaderUrl;
    }
    if (relayUrl === undefined) return this.#url ?? leaderUrl;
    if (this.#url === undefined || this.#url === relayUrl) {
      this.#moveAt = undefined;
      this.#url = relayUrl;
    } else if (this.#moveAt === undefined) {
      this.#moveAt = now + MIN_MOVE_DELAY_MS + this.#random() * MOVE_SPREAD_MS;
    } else if (now >= this.#moveAt) {
      this.#moveAt = undefined;
      this.#url = relayUrl;
    }
    return this.#url;
  }

  /** @param renewed - whether the last holder asked has renewed the tokens */
  onResult(renewed: boolean): void {
    this.#failures = renewed ? 0 : this.#failures + 1;
  }
}
