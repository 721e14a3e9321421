type Effect = { id: string; key: string; unit: string; at: number };
type Hold = { unit: string; from: number; to: number };

function wallMs(): number {
  // Comparable between processes of one machine, which checkers rely on.
  return performance.timeOrigin + performance.now();
}

/** What an upstream stand-in did, for the invariant checkers. */
export class UpstreamJournal {
  readonly effects: Effect[] = [];
  readonly holds: Hold[] = [];
  maxConcurrent = 0;
  coldOverloads = 0;
  staleRefusals = 0;
  readonly #held = new Map<string, Hold>();

  /**
   * @param effect - caller's request id, key and unit of a request that took
   * effect now
   */
  recordEffect(effect: Omit<Effect, "at">): void {
    this.effects.push({ ...effect, at: wallMs() });
  }

  /**
   * Replaces the units that the upstream holds.
   *
   * @param units - every unit held from now on
   * @param durationMs - how long the grant lasts unless replaced
   */
  recordGrant(units: readonly string[], durationMs: number): void {
    const now = wallMs();
    const wanted = new Set(units);
    for (const [unit, hold] of this.#held) {
      if (hold.to < now) {
        this.#held.delete(unit);
      } else if (!wanted.has(unit)) {
        hold.to = now;
        this.#held.delete(unit);
      }
    }
    for (const unit of wanted) {
      const known = this.#held.get(unit);
      if (known !== undefined) {
        known.to = now + durationMs;
      } else {
        const hold = { unit, from: now, to: now + durationMs };
        this.#held.set(unit, hold);
        this.holds.push(hold);
      }
    }
  }
}
