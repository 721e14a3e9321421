import type { UpstreamJournal } from "../standins/upstream_journal.ts";
import type { CallResult } from "./call_result.ts";

type Journal = Pick<
  UpstreamJournal,
  "effects" | "holds" | "coldOverloads"
>;

type Upstream = { id: string; service: string; journal: Journal };

// Upstream processes record their holds from the host's clock. Readings of it
// in two processes differ by less than this.
const CLOCK_TOLERANCE_MS = 1;

/** Counts pairs of upstreams that held the same unit at the same time. */
function countOverlappingHolds(upstreams: readonly Upstream[]): number {
  const holdsByUnit = new Map<
    string,
    { from: number; to: number; upstream: string }[]
  >();
  for (const { id, service, journal } of upstreams) {
    for (const { unit, from, to } of journal.holds) {
      const unitName = `${service}/${unit}`;
      const holds = holdsByUnit.get(unitName) ?? [];
      holds.push({ from, to, upstream: id });
      holdsByUnit.set(unitName, holds);
    }
  }
  let count = 0;
  for (const holds of holdsByUnit.values()) {
    holds.sort((a, b) => a.from - b.from);
    for (const [index, hold] of holds.entries()) {
      const overlapping = holds.slice(index + 1).filter((other) =>
        other.upstream !== hold.upstream &&
        other.from < hold.to - CLOCK_TOLERANCE_MS
      );
      count += overlapping.length;
    }
  }
  return count;
}

/**
 * Checks the invariants that can be verified from request results and upstream
 * journals.
 *
 * @param run - request results and the journals of all running upstreams
 * @returns the number of violations of each invariant
 */
export function countViolations(
  run: { results: readonly CallResult[]; upstreams: readonly Upstream[] },
): Record<string, number> {
  const effects = new Map<string, number>();
  for (const { journal } of run.upstreams) {
    for (const { id } of journal.effects) {
      effects.set(id, (effects.get(id) ?? 0) + 1);
    }
  }
  const idsWithJournal = new Set(run.upstreams.map(({ id }) => id));
  const count = (predicate: (result: CallResult) => boolean) =>
    run.results.filter(predicate).length;
  return {
    twoOwners: countOverlappingHolds(run.upstreams),
    runTwice: count(({ id, entry }) =>
      entry.endsWith("-once") && (effects.get(id) ?? 0) > 1
    ),
    falseNotRun: count(({ id, outcome }) =>
      outcome === "not_run" && effects.has(id)
    ),
    foreignAnswers: count(({ mismatched }) => mismatched),
    // A killed upstream's journal is lost, so its effects cannot be checked.
    lostEffects: count(({ id, status, servedBy }) =>
      status === 200 && idsWithJournal.has(servedBy) && !effects.has(id)
    ),
    coldOverloads: run.upstreams.reduce(
      (sum, { journal }) => sum + journal.coldOverloads,
      0,
    ),
  };
}
