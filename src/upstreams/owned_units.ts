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
  /** Epoch of the last coordinator that listed the release. */
  coordinatorEpoch: number;
  /** Owner in the assignment row when the release was ordered. */
  owner: string | undefined;
  /** When the release was ordered, on this router's clock. */
  orderedAt: number;
  /** The unit's last request has ended; set by `markDrained`. */
  drained: boolean;
  /** The unit was reported to a coordinator as released. */
  reported: boolean;
};

/**
 * Tracks the units (shards and pinned keys) that an upstream owns during one
 * dispatch term: those that this router's assignment row assigns to the
 * upstream, except the units under release.
 */
export class OwnedUnits {
  readonly #options: Options;
  readonly #releases = new Map<Unit, Release>();

  /**
   * @param options - the dispatch term and the assignment rows
   */
  constructor(options: Options) {
    this.#options = options;
  }

  /**
   * Checks that the assignment row lists this dispatch term. A row that does
   * not is either older than the term, and may show units that have been moved
   * away since, or lists the term's successor.
   *
   * @returns whether this router's row lists this term
   */
  rowListsTerm(): boolean {
    const term = this.#row()?.tenures[this.#options.upstream];
    return term?.vm === this.#options.vm &&
      term.epoch === this.#options.epoch;
  }

  /**
   * @param digest - digest of a key
   * @returns the unit through which the upstream owns the key, or undefined if
   * requests for the key must not be accepted
   */
  unitAccepting(digest: string): Unit | undefined {
    const row = this.#row();
    if (row === undefined || !this.rowListsTerm()) return undefined;
    const pin = `pin:${digest}`;
    if (this.#releases.has(pin)) return undefined;
    const unit = row.pins[digest] === undefined
      ? `shard:${shardOf(digest, row.shards.length)}`
      : pin;
    if (this.#releases.has(unit)) return undefined;
    return ownerOf(unit, row) === this.#options.upstream ? unit : undefined;
  }

  /**
   * @returns the units to include in the upstream's grant; a unit under release
   * stays in the grant until its last request has ended
   */
  unitsToGrant(): Unit[] {
    const row = this.#row();
    if (row === undefined || !this.rowListsTerm()) return [];
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
  pinnedDigests(): string[] {
    return Object.entries(this.#row()?.pins ?? {})
      .filter(([, owner]) => owner === this.#options.upstream)
      .map(([digest]) => digest);
  }

  /**
   * Replaces the list of releases by that of a coordinator's answer. A unit
   * that was reported as released may be assigned elsewhere at any moment, so
   * only the answer of a newer coordinator can withdraw its release.
   *
   * @param coordinatorEpoch - epoch of the coordinator that answered
   * @param units - units to release
   * @param now - current time on this router's clock
   */
  setReleases(
    coordinatorEpoch: number,
    units: readonly Unit[],
    now: number,
  ): void {
    this.onRowChanged();
    const listed = new Set(units);
    for (const [unit, release] of this.#releases) {
      if (listed.has(unit)) continue;
      if (
        !release.reported || coordinatorEpoch > release.coordinatorEpoch
      ) this.#releases.delete(unit);
    }
    const row = this.#row();
    for (const unit of listed) {
      const existing = this.#releases.get(unit);
      if (existing !== undefined) existing.coordinatorEpoch = coordinatorEpoch;
      else {
        this.#releases.set(unit, {
          coordinatorEpoch,
          owner: row && ownerOf(unit, row),
          orderedAt: now,
          drained: false,
          reported: false,
        });
      }
    }
  }

  /** Removes releases of units that have a new owner in the latest row. */
  onRowChanged(): void {
    const row = this.#row();
    if (row === undefined) return;
    for (const [unit, release] of this.#releases) {
      if (ownerOf(unit, row) !== release.owner) this.#releases.delete(unit);
    }
  }

  /**
   * @returns units under release, when their release was ordered, and whether
   * their last request has ended
   */
  releases(): { unit: Unit; orderedAt: number; drained: boolean }[] {
    return [...this.#releases].map(([unit, { orderedAt, drained }]) => ({
      unit,
      orderedAt,
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
   * @param unit - a unit that the next report lists as released
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
