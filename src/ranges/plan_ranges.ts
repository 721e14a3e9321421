import type { KeyRange } from "./key_range.ts";
import type { RangeDocument } from "./range_document.ts";
import { RangeLoads } from "./range_loads.ts";
import { unfencedOwners } from "./unfenced_owners.ts";

type UpstreamCapacity = {
  id: string;
  incarnation: number;
  /** Whether the upstream may be assigned keys. */
  usable: boolean;
  /** Requests per second that the upstream can sustain once it is warm. */
  capacityPerS: number;
  /**
   * Requests per second that the upstream can serve now; below `capacityPerS`
   * while it is cold.
   */
  limitPerS: number;
};
type PlanInput = {
  document: RangeDocument | undefined;
  upstreams: readonly UpstreamCapacity[];
  /** Keys and their requests per second, in ascending order of keys. */
  rates: readonly (readonly [number, number])[];
  /** Whether to move only the keys of lost or draining owners. */
  onlyUnusable?: boolean;
};
type UpstreamLoad = UpstreamCapacity & { ratePerS: number; rangeCount: number };

const KEY_COUNT = 65_536;
/** Keys are moved away only from upstreams above this fraction of capacity. */
const BUSY_FRACTION = 0.6;
/** Minimum excess over the fair load, as a fraction of the fair load. */
const MIN_EXCESS_FRACTION = 0.4;
/** Time over which the observed rates are averaged. */
const RATE_SAMPLE_S = 1.5;
/**
 * Minimum excess in standard errors, so that random variation of the rates
 * moves no keys.
 */
const MIN_EXCESS_Z_SCORE = 2;
/** Lower for a nearly full upstream, where queueing time grows steeply. */
const MIN_EXCESS_Z_SCORE_NEARLY_FULL = 1;
const NEARLY_FULL_FRACTION = 0.8;
/**
 * Limits on the balancing moves of one plan: 4 with 15 upstreams, and the same
 * number per upstream in larger deployments.
 */
const MIN_MOVE_LIMIT = 4;
const MOVE_LIMIT_PER_UPSTREAM = 1 / 4;
/** The keys of a lost or draining owner move in at most this many pieces. */
const MAX_PIECES_PER_RANGE = 3;
/**
 * Cold upstreams get keys only if the warm ones would be used above this
 * fraction of their capacity. The limit of a cold upstream is divided between
 * all VMs, so in a large deployment most of its requests are refused.
 */
const MAX_WARM_UTILIZATION = 0.8;
/** Initial load of a new upstream, as a fraction of the mean load. */
const NEW_UPSTREAM_FRACTION = 0.5;

/** Computes one plan. The ranges stay in ascending order. */
class Plan {
  readonly #loads: RangeLoads;
  readonly #upstreams: Map<string, UpstreamLoad>;
  #ranges: KeyRange[];
  #nextFence: number;
  changed = false;

  constructor({ document, upstreams, rates }: PlanInput) {
    this.#loads = new RangeLoads(rates);
    this.#ranges = [...document?.ranges ?? []];
    this.#nextFence = document?.nextFence ?? 1;
    this.#upstreams = new Map(
      upstreams.map((one) => [one.id, { ...one, ratePerS: 0, rangeCount: 0 }]),
    );
    for (const range of this.#ranges) this.#addToLoad(range, 1);
  }

  get document(): RangeDocument {
    return { schema: 1, nextFence: this.#nextFence, ranges: this.#ranges };
  }

  /** Assigns all keys in proportion to capacity if none are assigned yet. */
  assignAll(): void {
    const usable = this.#usableUpstreams();
    if (this.#ranges.length > 0 || usable.length === 0) return;
    const totalPerS = usable.reduce(
      (sum, upstream) => sum + upstream.capacityPerS,
      0,
    );
    let first = 0;
    let assignedPerS = 0;
    for (const [index, upstream] of usable.entries()) {
      assignedPerS += upstream.capacityPerS;
      const last = index === usable.length - 1
        ? KEY_COUNT - 1
        : Math.max(first, Math.round(KEY_COUNT * assignedPerS / totalPerS) - 1);
      const range: KeyRange = {
        first,
        last,
        owner: { id: upstream.id, incarnation: upstream.incarnation },
        fence: this.#nextFence++,
        previous: [],
      };
      this.#ranges.push(range);
      this.#addToLoad(range, 1);
      first = last + 1;
    }
    this.changed = true;
  }

  /** Assigns new owners to ranges whose owners are lost or not usable. */
  replaceOwners(): void {
    const usable = this.#usableUpstreams();
    if (usable.length === 0) return;
    const meanPerS = this.#loads.totalPerS / usable.length;
    for (const range of [...this.#ranges]) {
      if (this.#owner(range)?.usable === true) continue;
      let { first } = range;
      const rangePerS = this.#loads.ratePerS(first, range.last);
      const pieces = Math.min(
        MAX_PIECES_PER_RANGE,
        usable.length,
        Math.max(1, Math.ceil(rangePerS / (meanPerS / 2))),
      );
      for (let piece = 1; piece <= pieces && first <= range.last; piece++) {
        const last = piece === pieces
          ? range.last
          : this.#loads.lastKeyOfPart(first, range.last, rangePerS / pieces);
        this.#moveKeys(first, last, this.#leastLoaded());
        first = last + 1;
      }
    }
  }

  /** Moves keys to usable upstreams that own none. */
  assignToNewUpstreams(): void {
    const usable = this.#usableUpstreams();
    const meanPerS = this.#loads.totalPerS / Math.max(1, usable.length);
    for (const upstream of this.#targets()) {
      if (upstream.rangeCount > 0) continue;
      const donor = this.#mostUtilized();
      if (donor === undefined || donor === upstream) return;
      const movePerS = Math.min(
        meanPerS * NEW_UPSTREAM_FRACTION,
        upstream.limitPerS / 2,
      );
      this.#moveLoad(donor, upstream, movePerS);
    }
  }

  /** Moves keys from the most utilized upstreams to the least loaded ones. */
  balance(): void {
    let moves = 0;
    const usable = this.#usableUpstreams();
    const maxMoves = Math.max(
      MIN_MOVE_LIMIT,
      Math.floor(usable.length * MOVE_LIMIT_PER_UPSTREAM),
    );
    const byUtilization = usable.filter(({ rangeCount }) => rangeCount > 0)
      .sort((a, b) => utilizationOf(b) - utilizationOf(a));
    for (const from of byUtilization) {
      while (moves < maxMoves && this.#relieve(from)) moves++;
    }
  }

  /**
   * Moves keys away from one upstream if its excess load is significant.
   * Returns whether keys were moved.
   */
  #relieve(from: UpstreamLoad): boolean {
    const meanUtilization = this.#meanUtilization();
    // If all upstreams are busy, one below the mean is still a better target.
    const targetUtilization = Math.max(meanUtilization, BUSY_FRACTION);
    const to = leastLoaded(
      this.#targets().filter((upstream) =>
        upstream !== from &&
        upstream.ratePerS < upstream.limitPerS * targetUtilization
      ),
    );
    if (to === undefined) return false;
    const fairPerS = from.capacityPerS * meanUtilization;
    const excessPerS = from.ratePerS - fairPerS;
    const minZScore = from.ratePerS > from.capacityPerS * NEARLY_FULL_FRACTION
      ? MIN_EXCESS_Z_SCORE_NEARLY_FULL
      : MIN_EXCESS_Z_SCORE;
    const standardError = Math.sqrt(fairPerS / RATE_SAMPLE_S);
    if (
      from.ratePerS < from.capacityPerS * BUSY_FRACTION ||
      excessPerS < MIN_EXCESS_FRACTION * fairPerS ||
      excessPerS < minZScore * standardError
    ) return false;
    const roomPerS = to.limitPerS * targetUtilization - to.ratePerS;
    const movePerS = Math.min(
      excessPerS,
      roomPerS,
      (from.ratePerS - to.ratePerS) / 2,
    );
    return movePerS > 0 && this.#moveLoad(from, to, movePerS);
  }

  /** Merges adjacent ranges of the same owner, which then need one grant. */
  mergeNeighbours(): void {
    const merged: KeyRange[] = [];
    for (const range of this.#ranges) {
      const before = merged.at(-1);
      if (
        before !== undefined && before.last + 1 === range.first &&
        before.owner.id === range.owner.id &&
        before.owner.incarnation === range.owner.incarnation &&
        before.previous.length === 0 && range.previous.length === 0
      ) {
        merged.pop();
        merged.push({
          ...before,
          last: range.last,
          fence: this.#nextFence++,
          unfenced: unfencedOwners(
            before.owner,
            before.unfenced,
            range.unfenced,
          ),
        });
        this.changed = true;
      } else merged.push(range);
    }
    this.#ranges = merged;
  }

  #usableUpstreams(): UpstreamLoad[] {
    return [...this.#upstreams.values()].filter((upstream) => upstream.usable);
  }

  /** Returns the upstreams that may get further keys. */
  #targets(): UpstreamLoad[] {
    const usable = this.#usableUpstreams();
    const warm = usable.filter(({ limitPerS, capacityPerS }) =>
      limitPerS >= capacityPerS
    );
    const warmPerS = warm.reduce((sum, one) => sum + one.capacityPerS, 0);
    return this.#loads.totalPerS <= warmPerS * MAX_WARM_UTILIZATION
      ? warm
      : usable;
  }

  #meanUtilization(): number {
    const capacityPerS = this.#usableUpstreams().reduce(
      (sum, upstream) => sum + upstream.capacityPerS,
      0,
    );
    return this.#loads.totalPerS / Math.max(1e-9, capacityPerS);
  }

  #leastLoaded(): UpstreamLoad {
    const found = leastLoaded(this.#targets());
    if (found === undefined) throw new Error("no usable upstream for the keys");
    return found;
  }

  #mostUtilized(): UpstreamLoad | undefined {
    let found: UpstreamLoad | undefined;
    for (const upstream of this.#usableUpstreams()) {
      if (upstream.rangeCount === 0) continue;
      if (
        found === undefined || utilizationOf(upstream) > utilizationOf(found)
      ) found = upstream;
    }
    return found;
  }

  #owner(range: KeyRange): UpstreamLoad | undefined {
    const upstream = this.#upstreams.get(range.owner.id);
    return upstream?.incarnation === range.owner.incarnation
      ? upstream
      : undefined;
  }

  #addToLoad(range: KeyRange, sign: 1 | -1): void {
    const upstream = this.#owner(range);
    if (upstream === undefined) return;
    upstream.ratePerS += sign * this.#loads.ratePerS(range.first, range.last);
    upstream.rangeCount += sign;
  }

  /**
   * Moves about `perS` requests per second from the busiest range of `from`.
   * Returns whether keys were moved.
   */
  #moveLoad(from: UpstreamLoad, to: UpstreamLoad, perS: number): boolean {
    const movable = this.#ranges.filter((range) =>
      this.#owner(range) === from && range.previous.length === 0
    );
    const rateOf = ({ first, last }: KeyRange) =>
      this.#loads.ratePerS(first, last);
    // A range of one hot key cannot be split, so it stays and other keys move:
    // from ranges of several keys, or else the range with the least load.
    const splittable = movable.filter(({ first, last }) => first < last);
    const candidates = splittable.length > 0 || movable.length < 2
      ? splittable
      : movable.toSorted((a, b) => rateOf(a) - rateOf(b)).slice(0, 1);
    const [busiest] = candidates.toSorted((a, b) => rateOf(b) - rateOf(a));
    if (busiest === undefined) return false;
    const { first, last } = busiest;
    const busiestPerS = rateOf(busiest);
    if (busiestPerS <= perS) {
      this.#moveKeys(first, last, to);
      return true;
    }
    if (first === last) return false;
    const lastMoved = Math.min(
      last - 1,
      this.#loads.lastKeyOfPart(first, last, perS),
    );
    const movedPerS = this.#loads.ratePerS(first, lastMoved);
    // One hot key can exceed the load to move; then the keys after it move.
    if (movedPerS > 2 * perS && movedPerS > busiestPerS / 2) {
      this.#moveKeys(lastMoved + 1, last, to);
    } else this.#moveKeys(first, lastMoved, to);
    return true;
  }

  /** Assigns the keys `first` to `last`, which lie in one range, to `to`. */
  #moveKeys(first: number, last: number, to: UpstreamLoad): void {
    const index = this.#ranges.findIndex((range) =>
      range.first <= first && last <= range.last
    );
    const source = this.#ranges[index];
    if (source === undefined) throw new Error("keys span several ranges");
    const { fence, previous } = source;
    const owner = { id: to.id, incarnation: to.incarnation };
    const moved: KeyRange = {
      first,
      last,
      owner,
      fence: this.#nextFence++,
      previous: [...previous, { ...source.owner, fence }],
      unfenced: source.unfenced,
    };
    const left = { ...source, last: first - 1 };
    const right = { ...source, first: last + 1 };
    const pieces = [
      ...(left.first <= left.last ? [left] : []),
      moved,
      ...(right.first <= right.last ? [right] : []),
    ];
    this.#addToLoad(source, -1);
    this.#ranges.splice(index, 1, ...pieces);
    for (const piece of pieces) this.#addToLoad(piece, 1);
    this.changed = true;
  }
}

function utilizationOf(upstream: UpstreamLoad): number {
  return upstream.ratePerS / Math.max(1e-9, upstream.capacityPerS);
}

function leastLoaded(
  upstreams: readonly UpstreamLoad[],
): UpstreamLoad | undefined {
  let found: UpstreamLoad | undefined;
  for (const upstream of upstreams) {
    const utilization = upstream.ratePerS / Math.max(1e-9, upstream.limitPerS);
    if (
      found === undefined ||
      utilization < found.ratePerS / Math.max(1e-9, found.limitPerS)
    ) found = upstream;
  }
  return found;
}

/**
 * Plans which upstream owns which keys. Keys of lost or draining owners are
 * reassigned, new upstreams are assigned some keys, and upstreams near their
 * capacity hand some over. Hot keys are adjacent, so a range is split by load
 * rather than by its number of keys.
 *
 * @param input - current owners, upstreams, and request rates of keys
 * @returns the new document, or undefined if nothing changes
 */
export function planRanges(input: PlanInput): RangeDocument | undefined {
  const plan = new Plan(input);
  plan.assignAll();
  plan.replaceOwners();
  if (input.onlyUnusable === true) {
    return plan.changed ? plan.document : undefined;
  }
  plan.assignToNewUpstreams();
  plan.balance();
  plan.mergeNeighbours();
  return plan.changed ? plan.document : undefined;
}
