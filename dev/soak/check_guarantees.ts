import type { UpstreamEvent } from "../../platform/standins/upstream_event.ts";
import type { SoakCall } from "./soak_call.ts";
import type { SoakHistory } from "./soak_history.ts";

/** Time during which one upstream process owned a range of keys. */
type Hold = {
  upstream: string;
  /** First and last key, both inclusive. */
  first: number;
  last: number;
  /** Start and end, in milliseconds of the host's clock. */
  from: number;
  to: number;
};

/** Statuses that guarantee that the request has not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];
/** How long after its end a fault can still make requests fail. */
const FAULT_AFTEREFFECT_MS = 5000;

/**
 * Checks the guarantees of the routers against what one soak run recorded:
 *
 * - A request that is not idempotent runs at most once.
 * - A request that is refused with "not run" has not run.
 * - A successful answer is the upstream's intact answer to this request.
 * - Planned work fails no request.
 * - No key is owned by two upstreams at the same time.
 * - A router never returns to an older configuration.
 *
 * @param history - what the run recorded
 * @returns a line for each violation
 */
export function checkGuarantees(history: SoakHistory): string[] {
  const runCounts = new Map<string, number>();
  for (const { events } of history.upstreams) {
    for (const event of events) {
      if (event.kind !== "run") continue;
      runCounts.set(event.id, (runCounts.get(event.id) ?? 0) + 1);
    }
  }
  return [
    ...history.calls.flatMap((call) => checkCall(call, runCounts, history)),
    ...findOverlappingOwners(history),
    ...findVersionRollbacks(history),
  ];
}

function checkCall(
  call: SoakCall,
  runCounts: ReadonlyMap<string, number>,
  history: SoakHistory,
): string[] {
  const { id, outcome } = call;
  const runs = runCounts.get(id) ?? 0;
  const found: string[] = [];
  if (call.atMostOnce && runs > 1) found.push(`${id} ran ${runs} times`);
  if (outcome.kind === "answered") {
    if (outcome.status === 200 && !outcome.intact) {
      found.push(`${id} got an answer that is not its upstream's`);
    }
    if (NOT_RUN_STATUSES.includes(outcome.status) && runs > 0) {
      found.push(`${id} was refused with ${outcome.status} and ran`);
    }
  }
  const loss = lossReason(call, runs, history);
  if (loss !== undefined) found.push(`${id} was lost on planned work: ${loss}`);
  return found;
}

/**
 * Returns why a request counts as lost on planned work, or undefined if it
 * does not: it got an answer that is no failure, may have met a fault, never
 * reached the router, or was sent while a planned stop closed its connection.
 */
function lossReason(
  { router, incarnation, sentAt, endedAt, outcome }: SoakCall,
  runs: number,
  { faults, stops }: SoakHistory,
): string | undefined {
  const overlapsFault = faults.some(({ from, to }) =>
    from <= endedAt && sentAt <= to + FAULT_AFTEREFFECT_MS
  );
  if (overlapsFault) return undefined;
  if (outcome.kind === "answered") {
    return outcome.status >= 500 && outcome.status !== 503
      ? `status ${outcome.status}`
      : undefined;
  }
  if (!outcome.connected) return undefined;
  const stop = stops.find((one) =>
    one.router === router && one.incarnation === incarnation
  );
  // The router has not read a request that was sent while it closed the
  // connection.
  const sentDuringClose = stop !== undefined && sentAt >= stop.from &&
    runs === 0;
  return sentDuringClose ? undefined : outcome.reason;
}

function findOverlappingOwners({ upstreams }: SoakHistory): string[] {
  const holds = upstreams.flatMap(({ name, events, endedAt }) =>
    holdsOf(name, events, endedAt ?? Infinity)
  );
  const found: string[] = [];
  for (const [index, one] of holds.entries()) {
    for (const other of holds.slice(index + 1)) {
      if (one.upstream === other.upstream) continue;
      const from = Math.max(one.from, other.from);
      const to = Math.min(one.to, other.to);
      const first = Math.max(one.first, other.first);
      if (from < to && first <= Math.min(one.last, other.last)) {
        found.push(
          `key ${first} held by ${one.upstream} and ${other.upstream} for ${
            (to - from).toFixed(1)
          } ms`,
        );
      }
    }
  }
  return found;
}

/**
 * Returns the holds of one upstream process. The hold of a key ends with the
 * next grant or release of that key, its expiry, or the end of the process.
 */
function holdsOf(
  upstream: string,
  events: readonly UpstreamEvent[],
  endedAt: number,
): Hold[] {
  const ended: Hold[] = [];
  let open: Hold[] = [];
  for (const event of events) {
    if (event.kind === "run") continue;
    const { at, first, last } = event;
    const next: Hold[] = [];
    for (const hold of open) {
      if (hold.last < first || last < hold.first) {
        next.push(hold);
        continue;
      }
      ended.push({
        ...hold,
        first: Math.max(hold.first, first),
        last: Math.min(hold.last, last),
        to: Math.min(hold.to, at),
      });
      if (hold.first < first) next.push({ ...hold, last: first - 1 });
      if (last < hold.last) next.push({ ...hold, first: last + 1 });
    }
    open = next;
    if (event.kind === "granted") {
      open.push({
        upstream,
        first,
        last,
        from: at,
        to: Math.min(event.until, endedAt),
      });
    }
  }
  return [...ended, ...open];
}

function findVersionRollbacks({ probes }: SoakHistory): string[] {
  const found: string[] = [];
  for (const later of probes) {
    const newer = probes.find((earlier) =>
      earlier.router === later.router &&
      earlier.incarnation === later.incarnation &&
      earlier.version > later.version && earlier.endedAt < later.sentAt
    );
    if (newer === undefined) continue;
    found.push(
      `router ${later.router} went from configuration ${newer.version} ` +
        `back to ${later.version}`,
    );
  }
  return found;
}
