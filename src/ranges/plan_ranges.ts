import type { KeyRange } from "./key_range.ts";
import type { RangeDocument } from "./range_document.ts";
import { RangeLoads } from "./range_loads.ts";

type Holder = {
  id: string;
  incarnation: number;
  /** Whether it may get keys. */
  usable: boolean;
  /** Requests a second that it bears in the long run. */
  capacityPerS: number;
  /** Requests a second that it bears now; less than `capacityPerS` if cold. */
  limitPerS: number;
};
type Input = {
  document: RangeDocument | undefined;
  holders: readonly Holder[];
  /** Keys and their requests a second, in ascending order of keys. */
  rates: readonly (readonly [number, number])[];
};
type Loaded = Holder & { perS: number; ranges: number };

const KEYS = 65_536;
/** An upstream above this part of its capacity may hand keys over. */
const BUSY_PART = 0.6;
/** It must be this far above the mean, in parts of the mean. */
const MIN_EXCESS_PART = 0.4;
/** The rates are means of about this many seconds. */
const SAMPLE_S = 1.5;
/** Standard errors by which an excess must differ from chance. */
const SURE_ERRORS = 2;
/** The same for an upstream that is nearly full, where waits grow steeply. */
const SURE_ERRORS_FULL = 1;
const FULL_PART = 0.8;
/**
 * Moves for the sake of balance that begin at the same time: 4 with 15
 * upstreams, and as many for each upstream in larger deployments.
 */
const MIN_MOVES = 4;
const MOVES_PER_UPSTREAM = 1 / 4;
/** A lost owner's keys go to up to this many others. */
const MAX_PIECES = 3;
/** A new upstream starts with this part of the mean. */
const NEW_PART = 0.5;

/** One round of planning; ranges stay in ascending order. */
class Plan {
  readonly #loads: RangeLoads;
  readonly #holders: Map<string, Loaded>;
  #ranges: KeyRange[];
  #nextFence: number;
  changed = false;

  constructor({ document, holders, rates }: Input) {
    this.#loads = new RangeLoads(rates);
    this.#ranges = [...document?.ranges ?? []];
    this.#nextFence = document?.nextFence ?? 1;
    this.#holders = new Map(
      holders.map((one) => [one.id, { ...one, perS: 0, ranges: 0 }]),
    );
    for (const range of this.#ranges) this.#count(range, 1);
  }

  get document(): RangeDocument {
    return { schema: 1, nextFence: this.#nextFence, ranges: this.#ranges };
  }

  /** Deals all keys evenly to upstreams that have none. */
  assignAll(): void {
    const usable = this.#usable();
    if (this.#ranges.length > 0 || usable.length === 0) return;
    const total = usable.reduce((sum, one) => sum + one.capacityPerS, 0);
    let first = 0;
    let dealt = 0;
    for (const [index, holder] of usable.entries()) {
      dealt += holder.capacityPerS;
      const last = index === usable.length - 1
        ? KEYS - 1
        : Math.max(first, Math.round(KEYS * dealt / total) - 1);
      const range: KeyRange = {
        first,
        last,
        owner: { id: holder.id, incarnation: holder.incarnation },
        fence: this.#nextFence++,
        previous: [],
      };
      this.#ranges.push(range);
      this.#count(range, 1);
      first = last + 1;
    }
    this.changed = true;
  }

  /** Finds new owners for keys whose owners may not keep them. */
  replaceOwners(): void {
    const usable = this.#usable();
    if (usable.length === 0) return;
    const mean = this.#loads.total / usable.length;
    for (const range of [...this.#ranges]) {
      if (this.#owner(range)?.usable === true) continue;
      let { first } = range;
      const load = this.#loads.of(first, range.last);
      const pieces = Math.min(
        MAX_PIECES,
        usable.length,
        Math.max(1, Math.ceil(load / (mean / 2))),
      );
      for (let piece = 1; piece <= pieces && first <= range.last; piece++) {
        const last = piece === pieces
          ? range.last
          : this.#loads.cut(first, range.last, load / pieces);
        this.#move(first, last, this.#leastLoaded());
        first = last + 1;
      }
    }
  }

  /** Gives keys to upstreams that have none. */
  useNewHolders(): void {
    const usable = this.#usable();
    const mean = this.#loads.total / Math.max(1, usable.length);
    for (const holder of usable) {
      if (holder.ranges > 0) continue;
      const heaviest = this.#heaviest();
      if (heaviest === undefined || heaviest === holder) return;
      const wanted = Math.min(mean * NEW_PART, holder.limitPerS / 2);
      this.#shift(heaviest, holder, wanted);
    }
  }

  /** Moves load from busy upstreams to others. */
  balance(): void {
    let moves = 0;
    const usable = this.#usable();
    const most = Math.max(
      MIN_MOVES,
      Math.floor(usable.length * MOVES_PER_UPSTREAM),
    );
    const heaviestFirst = usable.filter(({ ranges }) => ranges > 0)
      .sort((a, b) => part(b) - part(a));
    for (const from of heaviestFirst) {
      while (moves < most && this.#relieve(from)) moves++;
    }
  }

  /** Moves load away from one upstream if that is worth it. */
  #relieve(from: Loaded): boolean {
    const used = this.#utilization();
    // Where all are busy, an upstream below the mean is still a better place.
    const full = Math.max(used, BUSY_PART);
    const to = leastLoaded(
      this.#usable().filter((one) =>
        one !== from && one.perS < one.limitPerS * full
      ),
    );
    if (to === undefined) return false;
    const fair = from.capacityPerS * used;
    const excess = from.perS - fair;
    const sure = from.perS > from.capacityPerS * FULL_PART
      ? SURE_ERRORS_FULL
      : SURE_ERRORS;
    const error = Math.sqrt(fair / SAMPLE_S);
    if (
      from.perS < from.capacityPerS * BUSY_PART ||
      excess < MIN_EXCESS_PART * fair || excess < sure * error
    ) return false;
    const room = to.limitPerS * full - to.perS;
    const wanted = Math.min(excess, room, (from.perS - to.perS) / 2);
    return wanted > 0 && this.#shift(from, to, wanted);
  }

  /** Joins neighbours with the same owner under one grant. */
  merge(): void {
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
        });
        this.changed = true;
      } else merged.push(range);
    }
    this.#ranges = merged;
  }

  #usable(): Loaded[] {
    return [...this.#holders.values()].filter((one) => one.usable);
  }

  #utilization(): number {
    const capacity = this.#usable().reduce(
      (sum, one) => sum + one.capacityPerS,
      0,
    );
    return this.#loads.total / Math.max(1e-9, capacity);
  }

  #leastLoaded(): Loaded {
    const found = leastLoaded(this.#usable());
    if (found === undefined) throw new Error("no upstream may get keys");
    return found;
  }

  #heaviest(): Loaded | undefined {
    let found: Loaded | undefined;
    for (const one of this.#usable()) {
      if (one.ranges === 0) continue;
      if (found === undefined || part(one) > part(found)) found = one;
    }
    return found;
  }

  #owner(range: KeyRange): Loaded | undefined {
    const holder = this.#holders.get(range.owner.id);
    return holder?.incarnation === range.owner.incarnation ? holder : undefined;
  }

  #count(range: KeyRange, sign: 1 | -1): void {
    const holder = this.#owner(range);
    if (holder === undefined) return;
    holder.perS += sign * this.#loads.of(range.first, range.last);
    holder.ranges += sign;
  }

  /** Moves about `perS` of load from the busiest range of `from`. */
  #shift(from: Loaded, to: Loaded, perS: number): boolean {
    const movable = this.#ranges.filter((range) =>
      this.#owner(range) === from && range.previous.length === 0
    );
    const load = ({ first, last }: KeyRange) => this.#loads.of(first, last);
    // One key that is too hot stays, and the owner's other keys go.
    const several = movable.filter(({ first, last }) => first < last);
    const candidates = several.length > 0 || movable.length < 2
      ? several
      : movable.toSorted((a, b) => load(a) - load(b)).slice(0, 1);
    const [busiest] = candidates.toSorted((a, b) => load(b) - load(a));
    if (busiest === undefined) return false;
    const { first, last } = busiest;
    const most = load(busiest);
    if (most <= perS) {
      this.#move(first, last, to);
      return true;
    }
    if (first === last) return false;
    const cut = Math.min(last - 1, this.#loads.cut(first, last, perS));
    const moved = this.#loads.of(first, cut);
    // A single key can weigh more than what is to move.
    if (moved > 2 * perS && moved > most / 2) {
      this.#move(cut + 1, last, to);
    } else this.#move(first, cut, to);
    return true;
  }

  /** Gives the keys from `first` to `last`, all in one range, to `to`. */
  #move(first: number, last: number, to: Loaded): void {
    const index = this.#ranges.findIndex((range) =>
      range.first <= first && last <= range.last
    );
    const whole = this.#ranges[index];
    if (whole === undefined) throw new Error("keys of several ranges");
    const { owner, fence, previous } = whole;
    const moved: KeyRange = {
      first,
      last,
      owner: { id: to.id, incarnation: to.incarnation },
      fence: this.#nextFence++,
      previous: [...previous, { ...owner, fence }],
    };
    const left = { ...whole, last: first - 1 };
    const right = { ...whole, first: last + 1 };
    const parts = [
      ...(left.first <= left.last ? [left] : []),
      moved,
      ...(right.first <= right.last ? [right] : []),
    ];
    this.#count(whole, -1);
    this.#ranges.splice(index, 1, ...parts);
    for (const one of parts) this.#count(one, 1);
    this.changed = true;
  }
}

function part(holder: Loaded): number {
  return holder.perS / Math.max(1e-9, holder.capacityPerS);
}

function leastLoaded(holders: readonly Loaded[]): Loaded | undefined {
  let found: Loaded | undefined;
  for (const one of holders) {
    const used = one.perS / Math.max(1e-9, one.limitPerS);
    if (
      found === undefined ||
      used < found.perS / Math.max(1e-9, found.limitPerS)
    ) found = one;
  }
  return found;
}

/**
 * Plans who owns which keys: keys of owners that leave get others, new
 * upstreams get some, and upstreams near what they bear hand some over. Busy
 * keys are neighbours, so ranges are cut where half of the excess lies.
 *
 * @param input - present owners, the upstreams, and the rates of keys
 * @returns the new document, or undefined if nothing changes
 */
export function planRanges(input: Input): RangeDocument | undefined {
  const plan = new Plan(input);
  plan.assignAll();
  plan.replaceOwners();
  plan.useNewHolders();
  plan.balance();
  plan.merge();
  return plan.changed ? plan.document : undefined;
}
