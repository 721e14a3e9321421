type Effect = { id: string; key: string; unit: string; at: number };
type Hold = { unit: string; from: number; to: number };

function wallClockMs(): number {
  // Comparable between processes of one host, which the checkers rely on.
  return performance.timeOrigin + performance.now();
}

/**
 * Records what an upstream stand-in did, for the invariant checkers. Sent as
 * JSON: the names of its public properties are outer names.
 */
export class UpstreamJournal {
  readonly effects: Effect[] = [];
  readonly holds: Hold[] = [];
  maxConcurrent = 0;
  coldOverloads = 0;
  staleRefusals = 0;
  readonly #currentHolds = new Map<string, Hold>();

  /**
   * Records that a request took effect now.
   *
   * @param effect - the caller's request id, the key and the unit
   */
  recordEffect(effect: Omit<Effect, "at">): void {
    this.effects.push({ ...effect, at: wallClockMs() });
  }

  /**
   * Replaces the units that the grant covers.
   *
   * @param units - all units of the new grant
   * @param durationMs - time until the grant expires, in milliseconds
   */
  recordGrant(units: readonly string[], durationMs: number): void {
    const now = wallClockMs();
    const granted = new Set(units);
    for (const [unit, hold] of this.#currentHolds) {
      if (hold.to < now) {
        this.#currentHolds.delete(unit);
      } else if (!granted.has(unit)) {
        hold.to = now;
        this.#currentHolds.delete(unit);
      }
    }
    for (const unit of granted) {
      const current = this.#currentHolds.get(unit);
      if (current !== undefined) {
        current.to = now + durationMs;
      } else {
        const hold = { unit, from: now, to: now + durationMs };
        this.#currentHolds.set(unit, hold);
        this.holds.push(hold);
      }
    }
  }
}
