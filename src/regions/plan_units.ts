import type { AssignmentRow } from "../shards/assignment_row.ts";
import { planPins } from "../shards/plan_pins.ts";
import { planShards } from "../shards/plan_shards.ts";
import { shardOf } from "../shards/shard_of.ts";
import type { ServicePlanInput } from "./service_plan_input.ts";
import type { ServiceState } from "./service_state.ts";

type Input = ServicePlanInput & { tenures: AssignmentRow["tenures"] };
type PlannedUnits = {
  /** Owner of each shard once the write has taken effect. */
  owners: (string | undefined)[];
  pins: Record<string, string>;
  /** Whether a shard that had no owner in this region gets one. */
  gainsShards: boolean;
};

// A move that only improves the balance interrupts a shard for some
// milliseconds. Such moves start only while fewer units are moving than 16 plus
// an eighth of the region's shards.
const BASE_VOLUNTARY_MOVES = 16;
const VOLUNTARY_MOVES_DIVISOR = 8;
// Longest time that a unit waits for others to be written with it. Units are
// released one by one; a write for each would use up the write capacity of the
// table service.
const RELEASE_BATCH_MS = 25;

/**
 * Plans the owners of shards and pinned keys.
 *
 * @param state - the service's state; units to release are added to `moves`
 * @param input - `tenures` as they are after the write
 * @returns the owners that can be written now
 */
export function planUnits(state: ServiceState, input: Input): PlannedUnits {
  const { content, moves } = state;
  const { now, scope } = input;
  const owners = content.shards.map((position) =>
    content.upstreams[position]?.id
  );
  const resized = owners.length !== scope.shards;
  const own = new Set(resized ? [] : scope.own);
  const movableUnits: { unit: string; apply: () => void }[] = [];
  const planned: PlannedUnits = {
    owners: [...owners],
    pins: { ...content.pins },
    gainsShards: false,
  };
  const ready = readyTargets(state, input);
  const pins = wantedPins(state, { ...input, own, ready });
  const wanted = wantedOwners(state, { ...input, own, owners, ready });

  let voluntaryMovesLeft = BASE_VOLUNTARY_MOVES +
    Math.floor(own.size / VOLUNTARY_MOVES_DIVISOR) -
    moves.size;
  for (const [shard, owner] of owners.entries()) {
    const unit = `shard:${shard}`;
    const target = wanted[shard];
    if (owner === undefined) {
      if (
        target !== undefined && ready.has(target) && !state.gainsBlocked &&
        state.mayReceive(unit, target) && mayGain(shard, input)
      ) {
        planned.owners[shard] = target;
        planned.gainsShards = true;
      }
      continue;
    }
    const move = moves.get(unit);
    if (move === undefined) {
      if (target === owner) continue;
      if (own.has(shard) && ready.has(owner)) {
        if (voluntaryMovesLeft <= 0) continue;
        voluntaryMovesLeft -= 1;
      }
      moves.set(unit, { source: owner, target });
    } else {
      move.target = target;
    }
    // The write that ends a release cannot assign the unit to the same owner.
    const newOwner = target === owner ? undefined : target;
    const blocked = newOwner !== undefined &&
      (!ready.has(newOwner) || !state.mayReceive(unit, newOwner));
    const hasPendingPin = pendingPins(state, shard, owner).some((pin) =>
      now < state.freeAt(pin, owner)
    );
    if (blocked || hasPendingPin || now < state.freeAt(unit, owner)) continue;
    movableUnits.push({ unit, apply: () => planned.owners[shard] = newOwner });
  }

  planPinMoves(state, { now, own, pins, ready, planned, movableUnits });
  const pending = moves.size - movableUnits.length;
  state.batchSince = movableUnits.length === 0
    ? undefined
    : state.batchSince ?? now;
  if (
    state.batchSince !== undefined &&
    (pending === 0 || now - state.batchSince >= RELEASE_BATCH_MS)
  ) {
    for (const { unit, apply } of movableUnits) {
      const source = moves.get(unit)?.source;
      apply();
      if (source !== undefined) retireUnlessReleased(state, unit, source, now);
    }
    state.batchSince = undefined;
  }
  state.gainsBlocked = false;
  if (resized && maySetSize(state, input)) {
    planned.owners = new Array<string | undefined>(scope.shards).fill(
      undefined,
    );
  }
  return planned;
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

/** Returns the upstreams that have a dispatcher and may own units. */
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
      // An upstream keeps its shards while it changes between dispatchers.
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
    // If no upstream can receive the shard, an owner that is not out keeps it:
    // releasing it would only leave it without an owner.
    if (
      wanted[shard] === undefined && owner !== undefined && !out.has(owner) &&
      !state.moves.has(`shard:${shard}`)
    ) wanted[shard] = owner;
  }
  return wanted;
}

/**
 * Returns whether no other region owns the shard. A shard without an owner in
 * this region may still have one in another region if an operator has changed
 * the home regions. The write also requires that the rows examined here are
 * unchanged.
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

/**
 * Returns the units of a shard's keys that are about to be pinned. The owner of
 * the shard releases each of them separately from the shard.
 */
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
  const currentPins = new Map(Object.entries(pins));
  for (const [unit, move] of state.moves) {
    if (!unit.startsWith("pin:")) continue;
    const digest = unit.slice("pin:".length);
    if (move.target === undefined) currentPins.delete(digest);
    else currentPins.set(digest, move.target);
  }
  const isOwnRegion = (digest: string) =>
    shards.length > 0 && input.own.has(shardOf(digest, shards.length));
  const result = planPins({
    pins: currentPins,
    hotKeys: input.hotKeys,
    upstreams: input.upstreams.map((facts) => ({
      id: facts.id,
      ratePerS: facts.ratePerS,
      usable: !facts.out && facts.state !== "lost",
      accepting: input.ready.has(facts.id) && facts.state === "warm" &&
        (input.weights.get(facts.id) ?? 1) === 1,
    })),
    isOwnRegion,
    ownerOf: (digest) =>
      isOwnRegion(digest) ? state.ownerByShard(digest) : undefined,
    belowThresholdSince: state.belowThresholdSince,
  }, input.now);
  state.belowThresholdSince = result.belowThresholdSince;
  return result.pins;
}

function planPinMoves(
  state: ServiceState,
  input: {
    now: number;
    own: ReadonlySet<number>;
    pins: ReadonlyMap<string, string>;
    ready: ReadonlySet<string>;
    planned: PlannedUnits;
    movableUnits: { unit: string; apply: () => void }[];
  },
): void {
  const { now, pins, ready, planned, movableUnits } = input;
  const { pins: currentPins, shards } = state.content;
  const pending = [...state.moves.keys()]
    .filter((unit) => unit.startsWith("pin:"))
    .map((unit) => unit.slice("pin:".length));
  const digests = new Set([
    ...Object.keys(currentPins),
    ...pins.keys(),
    ...pending,
  ]);
  for (const digest of digests) {
    const unit = `pin:${digest}`;
    const pinned = currentPins[digest];
    const owner = pinned ?? state.ownerByShard(digest);
    if (owner === undefined) continue;
    const shard = shardOf(digest, shards.length);
    let target = pins.get(digest);
    const move = state.moves.get(unit);
    if (move === undefined) {
      if (target === pinned || target === owner) continue;
      // The shard moves first, and the key with it.
      if (pinned === undefined && state.moves.has(`shard:${shard}`)) continue;
      state.moves.set(unit, { source: owner, target });
    } else if (pinned === undefined) {
      // A key that is being pinned cannot return to the owner of its shard
      // before the dispatcher has received a row that ends the release.
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
    movableUnits.push({
      unit,
      apply: () => {
        if (target === undefined) {
          // eslint-disable-next-line @typescript-eslint/no-dynamic-delete
          delete planned.pins[digest];
        } else {
          planned.pins[digest] = target;
        }
      },
    });
  }
}
