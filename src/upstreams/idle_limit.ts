type Change = {
  /** Longest idle time in milliseconds; undefined if it is as usual. */
  limitMs: number | undefined;
  /** Resets that are remembered. */
  resets: number;
};
type Reset = { address: string; idleMs: number; at: number };

/**
 * Connections that were idle for less are reset because an upstream has ended.
 */
const MIN_IDLE_MS = 100;
/** Upstreams that end reset connections too, but hardly two at a time. */
const MIN_UPSTREAMS = 2;
const TOGETHER_MS = 3000;
/**
 * Connections are used again after this part of the shortest idle time
 * observed.
 */
const SAFE_PART = 0.7;
/** Longer idle times are tried again after this time without a reset. */
const MEMORY_MS = 8000;

/**
 * How long connections to upstreams may stay idle. An upstream may forget them
 * sooner than it says, without notice; what is sent next is reset.
 */
export class IdleLimit {
  readonly #onChange: (change: Change) => void;
  #resets: Reset[] = [];
  #limitMs = Infinity;

  /**
   * @param onChange - told when idle times get shorter, or are as usual again
   */
  constructor(onChange: (change: Change) => void = () => undefined) {
    this.#onChange = onChange;
  }

  /**
   * @param reset - `address` of the upstream, and how long the connection had
   * been idle before it was reset at its next request, in milliseconds
   * @param now - monotonic milliseconds
   */
  onReset(reset: Omit<Reset, "at">, now: number): void {
    if (reset.idleMs < MIN_IDLE_MS) return;
    this.#resets = [...this.#recent(now), { ...reset, at: now }];
    this.#update(now);
  }

  /**
   * @param usualMs - longest idle time without resets, in milliseconds
   * @param now - monotonic milliseconds
   * @returns longest idle time of a connection that may be used again
   */
  maxMs(usualMs: number, now: number): number {
    this.#update(now);
    return Math.min(usualMs, this.#limitMs);
  }

  #update(now: number): void {
    const recent = this.#recent(now);
    const isTogether = recent.some((one) =>
      new Set(
        recent.filter(({ at }) => Math.abs(at - one.at) <= TOGETHER_MS)
          .map(({ address }) => address),
      ).size >= MIN_UPSTREAMS
    );
    const shortest = Math.min(...recent.map(({ idleMs }) => idleMs));
    const limitMs = isTogether ? SAFE_PART * shortest : Infinity;
    if (limitMs === this.#limitMs) return;
    this.#limitMs = limitMs;
    this.#onChange({
      limitMs: isTogether ? Math.round(limitMs) : undefined,
      resets: recent.length,
    });
  }

  #recent(now: number): Reset[] {
    return this.#resets.filter(({ at }) => now - at < MEMORY_MS);
  }
}
