import type { AssignmentRow } from "../shards/assignment_row.ts";
import { planPins } from "../shards/plan_pins.ts";
import { planShards } from "../shards/plan_shards.ts";
import { shardOf } from "../shards/shard_of.ts";
import type { ServicePlanInput } from "./service_plan_input.ts";
import type { ServiceState } from "./service_state.ts";

type Input = ServicePlanInput & { tenures: AssignmentRow["tenures"] };
type Units = {
  /** Owner by shard once the write has taken effect. */
  owners: (string | undefined)[];
  pins: Record<string, string>;
  /** Shards that had no owner in this region get one. */
  gains: boolean;
};

// Moves that only improve the balance interrupt a shard for some milliseconds
// each, so a part of them at a time is enough.
const MIN_VOLUNTARY = 16;
const VOLUNTARY_PART = 8;
// Released units arrive one by one; a write for each would use up the table
// service's write capacity.
const BATCH_MS = 25;

/**
 * Plans the owners of shards and pinned keys.
 *
 * @param state - the service's state; units to release are added to `moves`
 * @param input - `tenures` as they are after the write
 * @returns the owners that can be written now
 */
export function planUnits(state: ServiceState, input: Input): Units {
  const { content, moves } = state;
  const { now, scope } = input;
  const owners = content.shards.map((position) =>
    content.upstreams[position]?.id
  );
  const resized = owners.length !== scope.shards;
  const own = new Set(resized ? [] : scope.own);
  const free: { unit: string; apply: () => void }[] = [];
  const next: Units = {
    owners: [...owners],
    pins: { ...content.pins },
    gains: false,
  };
  const ready = readyTargets(state, input);
  const pins = wantedPins(state, { ...input, own, ready });
  const wanted = wantedOwners(state, { ...input, own, owners, ready });

  let voluntary = MIN_VOLUNTARY + Math.floor(own.size / VOLUNTARY_PART) -
    moves.size;
  for (const [shard, owner] of owners.entries()) {
    const unit = `shard:${shard}`;
    const target = wanted[shard];
    if (owner === undefined) {
      if (
        target !== undefined && ready.has(target) && !state.gainsBlocked &&
        state.mayReceive(unit, target) && mayGain(shard, input)
      ) {
        next.owners[shard] = target;
        next.gains = true;
      }
      continue;
    }
    const move = moves.get(unit);
    if (move === undefined) {
      if (target === owner) continue;
      if (own.has(shard) && ready.has(owner)) {
        if (voluntary <= 0) continue;
        voluntary -= 1;
      }
      moves.set(unit, { source: owner, target });
    } else {
      move.target = target;
    }
    // A unit cannot return to its releaser by the write that takes it away.
    const receiver = target === owner ? undefined : target;
    const blocked = receiver !== undefined &&
      (!ready.has(receiver) || !state.mayReceive(unit, receiver));
    const waiting = pendingPins(state, shard, owner).some((pin) =>
      now < state.freeAt(pin, owner)
    );
    if (blocked || waiting || now < state.freeAt(unit, owner)) continue;
    free.push({ unit, apply: () => next.owners[shard] = receiver });
  }

  planPinMoves(state, { now, own, pins, ready, next, free });
  const pending = moves.size - free.length;
  state.batchSince = free.length === 0 ? undefined : state.batchSince ?? now;
  if (
    state.batchSince !== undefined &&
    (pending === 0 || now - state.batchSince >= BATCH_MS)
  ) {
    for (const { unit, apply } of free) {
      const source = moves.get(unit)?.source;
      apply();
      if (source !== undefined) retireUnlessReleased(state, unit, source, now);
    }
    state.batchSince = undefined;
  }
  state.gainsBlocked = false;
  if (resized && maySetSize(state, input)) {
    next.owners = new Array<string | undefined>(scope.shards).fill(undefined);
  }
  return next;
}

function retireUnlessReleased(
  state: ServiceState,
  unit: string,
  source: string,
  now: number,
): void {
  const released = state.terms.get(source)?.released.get(unit);
  if (released === undefined || released > now) state.retire(source, now);
}

/** Upstreams that have a dispatcher and may own units. */
function readyTargets(state: ServiceState, input: Input): Set<string> {
  const ready = new Set<string>();
  for (const facts of input.upstreams) {
    if (facts.out || facts.state === "lost") continue;
    const rowTerm = input.tenures[facts.id];
    if (rowTerm === undefined) continue;
    const term = state.terms.get(facts.id);
    const kept = term?.epoch === rowTerm.epoch;
    if (!kept || !term.isOver(input.now)) ready.add(facts.id);
  }
  return ready;
}

function wantedOwners(
  state: ServiceState,
  input: Input & {
    own: ReadonlySet<number>;
    owners: readonly (string | undefined)[];
    ready: ReadonlySet<string>;
  },
): (string | undefined)[] {
  const { own, owners } = input;
  const hasDispatcher = (id: string) => input.tenures[id] !== undefined;
  const wanted = planShards({
    own: [...own],
    owners: owners.map((owner, shard) => {
      const move = state.moves.get(`shard:${shard}`);
      return move === undefined ? owner : move.target;
    }),
    upstreams: input.upstreams.map((facts) => ({
      id: facts.id,
      weight: input.weights.get(facts.id) ?? 1,
      // A dispatch term between two dispatchers does not move the upstream's
      // shards.
      state: !facts.out && facts.state !== "lost" && hasDispatcher(facts.id)
        ? "in"
        : "out",
      cap: input.caps.get(facts.id),
      load: facts.ratePerS,
    })),
  });
  const out = new Set(
    input.upstreams.filter((facts) => facts.out).map((facts) => facts.id),
  );
  for (const shard of own) {
    const owner = owners[shard];
    // Without any usable upstream a move would gain nothing.
    if (
      wanted[shard] === undefined && owner !== undefined && !out.has(owner) &&
      !state.moves.has(`shard:${shard}`)
    ) wanted[shard] = owner;
  }
  return wanted;
}

/**
 * A shard that had no owner here may still have one in another region, if an
 * operator has changed the home regions. The write also requires the rows that
 * are examined here to be unchanged.
 */
function mayGain(shard: number, input: Input): boolean {
  return input.otherRegionRows.every(({ row }) => {
    if (row === undefined) return true;
    if (row.shards.length !== input.scope.shards) {
      return isEmpty(row);
    }
    return row.shards[shard] === -1 &&
      !Object.keys(row.pins).some((digest) =>
        shardOf(digest, row.shards.length) === shard
      );
  });
}

function maySetSize(state: ServiceState, input: Input): boolean {
  return (state.held === undefined || isEmpty(state.held.row)) &&
    input.upstreams.length > 0;
}

function isEmpty(row: Pick<AssignmentRow, "shards" | "pins">): boolean {
  return row.shards.every((position) => position === -1) &&
    Object.keys(row.pins).length === 0;
}

/** Keys of a shard that are being pinned and so released one by one. */
function pendingPins(
  state: ServiceState,
  shard: number,
  owner: string,
): string[] {
  const { shards, pins } = state.content;
  return [...state.moves].filter(([unit, move]) => {
    if (!unit.startsWith("pin:") || move.source !== owner) return false;
    const digest = unit.slice("pin:".length);
    return pins[digest] === undefined &&
      shardOf(digest, shards.length) === shard;
  }).map(([unit]) => unit);
}

function wantedPins(
  state: ServiceState,
  input: Input & {
    own: ReadonlySet<number>;
    ready: ReadonlySet<string>;
  },
): Map<string, string> {
  const { shards, pins } = state.content;
  const present = new Map(Object.entries(pins));
  for (const [unit, move] of state.moves) {
    if (!unit.startsWith("pin:")) continue;
    const digest = unit.slice("pin:".length);
    if (move.target === undefined) present.delete(digest);
    else present.set(digest, move.target);
  }
  const isOwn = (digest: string) =>
    shards.length > 0 && input.own.has(shardOf(digest, shards.length));
  const result = planPins({
    pins: present,
    hotKeys: input.hotKeys,
    upstreams: input.upstreams.map((facts) => ({
      id: facts.id,
      ratePerS: facts.ratePerS,
      usable: !facts.out && facts.state !== "lost",
      accepting: input.ready.has(facts.id) && facts.state === "warm" &&
        (input.weights.get(facts.id) ?? 1) === 1,
    })),
    isOwn,
    ownerOf: (digest) => isOwn(digest) ? state.ownerByShard(digest) : undefined,
    coolSince: state.coolSince,
  }, input.now);
  state.coolSince = result.coolSince;
  return result.pins;
}

function planPinMoves(
  state: ServiceState,
  input: {
    now: number;
    own: ReadonlySet<number>;
    pins: ReadonlyMap<string, string>;
    ready: ReadonlySet<string>;
    next: Units;
    free: { unit: string; apply: () => void }[];
  },
): void {
  const { now, pins, ready, next, free } = input;
  const { pins: present, shards } = state.content;
  const pending = [...state.moves.keys()]
    .filter((unit) => unit.startsWith("pin:"))
    .map((unit) => unit.slice("pin:".length));
  const digests = new Set([
    ...Object.keys(present),
    ...pins.keys(),
    ...pending,
  ]);
  for (const digest of digests) {
    const unit = `pin:${digest}`;
    const pinned = present[digest];
    const owner = pinned ?? state.ownerByShard(digest);
    if (owner === undefined) continue;
    const shard = shardOf(digest, shards.length);
    let target = pins.get(digest);
    const move = state.moves.get(unit);
    if (move === undefined) {
      if (target === pinned || target === owner) continue;
      // The key follows its shard first.
      if (pinned === undefined && state.moves.has(`shard:${shard}`)) continue;
      state.moves.set(unit, { source: owner, target });
    } else if (pinned === undefined) {
      // A key that is being pinned cannot return to the owner of its shard
      // before a row has shown its dispatcher the end of the release.
      if (target === undefined || target === owner) target = move.target;
      move.target = target;
    } else {
      if (target === pinned) target = undefined;
      move.target = target;
    }
    const receiver = target ?? state.ownerByShard(digest);
    if (receiver !== undefined && !state.mayReceive(unit, receiver)) continue;
    if (target !== undefined && pinned !== undefined && !ready.has(target)) {
      continue;
    }
    if (now < state.freeAt(unit, owner)) continue;
    free.push({
      unit,
      apply: () => {
        if (target === undefined) {
          // eslint-disable-next-line @typescript-eslint/no-dynamic-delete
          delete next.pins[digest];
        } else {
          next.pins[digest] = target;
        }
      },
    });
  }
}
