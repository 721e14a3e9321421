import type { AssignmentRow } from "../shards/assignment_row.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";
import { shardOf } from "../shards/shard_of.ts";
import type { Unit } from "../shards/unit.ts";

type Options = {
  assignments: AssignmentView;
  vm: string;
  region: string;
  service: string;
  upstream: string;
  epoch: number;
};
type Release = {
  coordinatorEpoch: number;
  /** Owner by the row when the release was ordered. */
  owner: string | undefined;
  /** When the release was ordered, on this router's clock. */
  since: number;
  /** No request in flight; set by the dispatcher. */
  drained: boolean;
  /** A coordinator was told that the unit is released. */
  reported: boolean;
};

/**
 * The units that one term may serve: those that the router's own assignment
 * row gives to the upstream, less the released ones.
 */
export class OwnedUnits {
  readonly #options: Options;
  readonly #releases = new Map<Unit, Release>();

  /**
   * @param options - the term and the rows
   */
  constructor(options: Options) {
    this.#options = options;
  }

  /**
   * A row that does not name this term is either older than the term, and
   * may still show units that were moved away since, or shows its successor.
   *
   * @returns whether the router's row names this term
   */
  rowNamesTerm(): boolean {
    const term = this.#row()?.tenures[this.#options.upstream];
    return term?.vm === this.#options.vm &&
      term.epoch === this.#options.epoch;
  }

  /**
   * @param digest - digest of a key
   * @returns the unit through which the upstream owns the key and may accept
   * requests for it, or undefined
   */
  accepts(digest: string): Unit | undefined {
    const row = this.#row();
    if (row === undefined || !this.rowNamesTerm()) return undefined;
    const pin = `pin:${digest}`;
    if (this.#releases.has(pin)) return undefined;
    const unit = row.pins[digest] === undefined
      ? `shard:${shardOf(digest, row.shards.length)}`
      : pin;
    if (this.#releases.has(unit)) return undefined;
    return ownerOf(unit, row) === this.#options.upstream ? unit : undefined;
  }

  /**
   * @returns the units that the upstream's grant is to contain; a released unit
   * stays in it until its last request has ended
   */
  granted(): Unit[] {
    const row = this.#row();
    if (row === undefined || !this.rowNamesTerm()) return [];
    const units = row.shards.flatMap((position, shard) =>
      row.upstreams[position]?.id === this.#options.upstream
        ? [`shard:${shard}`]
        : []
    );
    for (const [digest, owner] of Object.entries(row.pins)) {
      if (owner === this.#options.upstream) units.push(`pin:${digest}`);
    }
    return units.filter((unit) => this.#releases.get(unit)?.drained !== true);
  }

  /**
   * @returns digests of the keys pinned to the upstream
   */
  pinned(): string[] {
    return Object.entries(this.#row()?.pins ?? {})
      .filter(([, owner]) => owner === this.#options.upstream)
      .map(([digest]) => digest);
  }

  /**
   * Takes over the complete list of releases from a coordinator's answer. A
   * unit that was reported as released may be assigned elsewhere at any moment,
   * so only the answer of a newer coordinator gives it back.
   *
   * @param coordinatorEpoch - epoch of the coordinator that answered
   * @param units - units to release
   * @param now - present time on this router's clock
   */
  setReleases(
    coordinatorEpoch: number,
    units: readonly Unit[],
    now: number,
  ): void {
    this.rowChanged();
    const listed = new Set(units);
    for (const [unit, release] of this.#releases) {
      if (listed.has(unit)) continue;
      if (
        !release.reported || coordinatorEpoch > release.coordinatorEpoch
      ) this.#releases.delete(unit);
    }
    const row = this.#row();
    for (const unit of listed) {
      const known = this.#releases.get(unit);
      if (known !== undefined) known.coordinatorEpoch = coordinatorEpoch;
      else {
        this.#releases.set(unit, {
          coordinatorEpoch,
          owner: row && ownerOf(unit, row),
          since: now,
          drained: false,
          reported: false,
        });
      }
    }
  }

  /** Forgets releases whose move the newest row shows as done. */
  rowChanged(): void {
    const row = this.#row();
    if (row === undefined) return;
    for (const [unit, release] of this.#releases) {
      if (ownerOf(unit, row) !== release.owner) this.#releases.delete(unit);
    }
  }

  /**
   * @returns units under release, since when, and whether their last request
   * has ended
   */
  releases(): { unit: Unit; since: number; drained: boolean }[] {
    return [...this.#releases].map(([unit, { since, drained }]) => ({
      unit,
      since,
      drained,
    }));
  }

  /**
   * @param unit - a unit under release whose last request has ended
   */
  markDrained(unit: Unit): void {
    const release = this.#releases.get(unit);
    if (release !== undefined) release.drained = true;
  }

  /**
   * @param unit - a unit that the next report names as released
   */
  markReported(unit: Unit): void {
    const release = this.#releases.get(unit);
    if (release !== undefined) release.reported = true;
  }

  #row(): AssignmentRow | undefined {
    const { assignments, region, service } = this.#options;
    return assignments.get(region, service)?.row;
  }
}

function ownerOf(unit: Unit, row: AssignmentRow): string | undefined {
  const [kind, name = ""] = unit.split(":");
  return kind === "pin"
    ? row.pins[name]
    : row.upstreams[row.shards[Number(name)] ?? -1]?.id;
}
