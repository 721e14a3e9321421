import type { UpstreamEvent } from "../../platform/standins/upstream_event.ts";
import type { SoakCall } from "./soak_call.ts";
import type { SoakHistory } from "./soak_history.ts";

type Hold = {
  upstream: string;
  first: number;
  last: number;
  from: number;
  to: number;
};

/** Statuses that promise that a request has not run. */
const NOT_RUN: readonly number[] = [408, 421, 429, 503];
/** A fault may be felt for as long after its end. */
const AFTERMATH_MS = 5000;

/**
 * @param record - what a run has shown
 * @returns a line for each promise that was broken
 */
export function checkPromises(record: SoakHistory): string[] {
  const runs = new Map<string, number>();
  for (const { events } of record.upstreams) {
    for (const event of events) {
      if (event.kind !== "run") continue;
      runs.set(event.id, (runs.get(event.id) ?? 0) + 1);
    }
  }
  return [
    ...record.calls.flatMap((call) => checkCall(call, runs, record)),
    ...twoHolders(record),
    ...olderVersions(record),
  ];
}

function checkCall(
  call: SoakCall,
  runs: ReadonlyMap<string, number>,
  record: SoakHistory,
): string[] {
  const { id, end } = call;
  const ran = runs.get(id) ?? 0;
  const found: string[] = [];
  if (call.once && ran > 1) found.push(`${id} ran ${ran} times`);
  if (end.kind === "answered") {
    if (end.status === 200 && !end.whole) {
      found.push(`${id} got an answer that is not its upstream's`);
    }
    if (NOT_RUN.includes(end.status) && ran > 0) {
      found.push(`${id} was refused with ${end.status} and ran`);
    }
  }
  const lost = isLost(call, ran, record);
  if (lost !== undefined) found.push(`${id} was lost on planned work: ${lost}`);
  return found;
}

/** Why a request counts as lost on planned work, if it does. */
function isLost(
  { router, run, sentAt, endedAt, end }: SoakCall,
  ran: number,
  { faults, stops }: SoakHistory,
): string | undefined {
  const disturbed = faults.some(({ from, to }) =>
    from <= endedAt && sentAt <= to + AFTERMATH_MS
  );
  if (disturbed) return undefined;
  if (end.kind === "answered") {
    return end.status >= 500 && end.status !== 503
      ? `status ${end.status}`
      : undefined;
  }
  if (!end.connected) return undefined;
  const stop = stops.find((one) => one.router === router && one.run === run);
  // A request that crosses the close of its connection has not been read.
  const crossed = stop !== undefined && sentAt >= stop.from && ran === 0;
  return crossed ? undefined : end.reason;
}

function twoHolders({ upstreams }: SoakHistory): string[] {
  const holds = upstreams.flatMap(({ name, events, killedAt }) =>
    holdsOf(name, events, killedAt ?? Infinity)
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

function olderVersions({ probes }: SoakHistory): string[] {
  const found: string[] = [];
  for (const later of probes) {
    const newer = probes.find((earlier) =>
      earlier.router === later.router && earlier.run === later.run &&
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
