type Change = {
  /** Longest idle time in milliseconds; undefined if the default applies. */
  limitMs: number | undefined;
  /** Number of recent resets. */
  resets: number;
};
type Reset = { address: string; idleMs: number; at: number };

/**
 * Resets after a shorter idle time are ignored: their cause is an upstream that
 * terminated.
 */
const MIN_RESET_IDLE_MS = 100;
/**
 * An upstream that terminates resets its connections too, but two rarely do so
 * within the window.
 */
const MIN_RESET_UPSTREAMS = 2;
const CORRELATION_WINDOW_MS = 3000;
/**
 * Fraction of the shortest idle time before a reset up to which connections are
 * reused.
 */
const SAFE_IDLE_FRACTION = 0.7;
/** Resets older than this are ignored, so longer idle times are tried again. */
const RESET_RETENTION_MS = 8000;

/**
 * Limits how long connections to upstreams may be idle before reuse. An
 * upstream may drop idle connections sooner than it announces, without closing
 * them; the next request on such a connection is reset.
 */
export class IdleLimit {
  readonly #onChange: (change: Change) => void;
  #resets: Reset[] = [];
  #limitMs = Infinity;

  /**
   * @param onChange - called when the limit changes or the default applies
   * again
   */
  constructor(onChange: (change: Change) => void = () => undefined) {
    this.#onChange = onChange;
  }

  /**
   * Records that a reused connection was reset.
   *
   * @param reset - `address` of the upstream, and `idleMs`, how long the
   * connection had been idle before the request that was reset
   * @param now - monotonic milliseconds
   */
  onReset(reset: Omit<Reset, "at">, now: number): void {
    if (reset.idleMs < MIN_RESET_IDLE_MS) return;
    this.#resets = [...this.#recent(now), { ...reset, at: now }];
    this.#update(now);
  }

  /**
   * @param defaultMs - longest idle time if there were no resets
   * @param now - monotonic milliseconds
   * @returns longest idle time in milliseconds after which a connection may be
   * reused
   */
  maxIdleMs(defaultMs: number, now: number): number {
    this.#update(now);
    return Math.min(defaultMs, this.#limitMs);
  }

  #update(now: number): void {
    const recent = this.#recent(now);
    const isCorrelated = recent.some((reset) =>
      new Set(
        recent.filter(({ at }) =>
          Math.abs(at - reset.at) <= CORRELATION_WINDOW_MS
        )
          .map(({ address }) => address),
      ).size >= MIN_RESET_UPSTREAMS
    );
    const shortest = Math.min(...recent.map(({ idleMs }) => idleMs));
    const limitMs = isCorrelated ? SAFE_IDLE_FRACTION * shortest : Infinity;
    if (limitMs === this.#limitMs) return;
    this.#limitMs = limitMs;
    this.#onChange({
      limitMs: isCorrelated ? Math.round(limitMs) : undefined,
      resets: recent.length,
    });
  }

  #recent(now: number): Reset[] {
    return this.#resets.filter(({ at }) => now - at < RESET_RETENTION_MS);
  }
}
