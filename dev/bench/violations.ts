import type { UpstreamJournal } from "../standins/upstream_journal.ts";
import type { CallResult } from "./call_result.ts";

type Journal = Pick<
  UpstreamJournal,
  "effects" | "holds" | "coldOverloads"
>;

type Upstream = { id: string; service: string; journal: Journal };

// Grants are compared over the clock that all processes of one machine share;
// reading it in two processes differs by less than this.
const CLOCK_TOLERANCE_MS = 1;

function countTwoOwners(upstreams: readonly Upstream[]): number {
  const byUnit = new Map<
    string,
    { from: number; to: number; upstream: string }[]
  >();
  for (const { id, service, journal } of upstreams) {
    for (const { unit, from, to } of journal.holds) {
      const name = `${service}/${unit}`;
      const holds = byUnit.get(name) ?? [];
      holds.push({ from, to, upstream: id });
      byUnit.set(name, holds);
    }
  }
  let count = 0;
  for (const holds of byUnit.values()) {
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
 * Checks the invariants that results and upstream journals can show.
 *
 * @param run - results of the callers and journals of all upstreams
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
  const known = new Set(run.upstreams.map(({ id }) => id));
  const count = (test: (result: CallResult) => boolean) =>
    run.results.filter(test).length;
  return {
    twoOwners: countTwoOwners(run.upstreams),
    runTwice: count(({ id, entry }) =>
      entry.endsWith("-once") && (effects.get(id) ?? 0) > 1
    ),
    falseNotRun: count(({ id, outcome }) =>
      outcome === "not_run" && effects.has(id)
    ),
    foreignAnswers: count(({ mismatched }) => mismatched),
    // An upstream that was killed took its journal with it.
    lostEffects: count(({ id, status, servedBy }) =>
      status === 200 && known.has(servedBy) && !effects.has(id)
    ),
    coldOverloads: run.upstreams.reduce(
      (sum, { journal }) => sum + journal.coldOverloads,
      0,
    ),
  };
}
