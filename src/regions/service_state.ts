import type { AssignmentRow } from "../shards/assignment_row.ts";
import { shardOf } from "../shards/shard_of.ts";
import type { RenewParams } from "./renew_params.ts";
import { DispatchTerm } from "./dispatch_term.ts";

type Move = {
  source: string;
  /** Undefined: the unit is to have no owner of its own. */
  target: string | undefined;
};
type Acknowledgement = {
  vm: string;
  incarnation: string;
  epoch: number;
  revision: number;
};

const NO_ROW: Pick<AssignmentRow, "upstreams" | "shards" | "tenures" | "pins"> =
  { upstreams: [], shards: [], tenures: {}, pins: {} };

/** What a coordinator keeps of one service during its term. */
export class ServiceState {
  readonly service: string;
  /** The row as last read or written. */
  held: { revision: number; row: AssignmentRow } | undefined;
  /** Units that their present dispatcher is told to release. */
  readonly moves = new Map<string, Move>();
  /** Dispatch terms of the row, by upstream. */
  readonly terms = new Map<string, DispatchTerm>();
  /** A write is under way or its outcome unknown. */
  busy = false;
  /**
   * Process chosen for a dispatch term that is being written, by
   * upstream/epoch.
   */
  readonly intended = new Map<string, string>();
  /** The last write lost against a row of another region. */
  gainsBlocked = false;
  /** When the first unit of the next batch became free. */
  batchSince: number | undefined;
  /** `coolSince` of `planPins`. */
  coolSince: ReadonlyMap<string, number> = new Map();
  #checksGrants = true;
  #maxRunMs = 0;
  readonly #quietAt = new Map<string, number>();
  readonly #ownedSince = new Map<string, number>();
  #firstRevision = 0;
  readonly #acknowledgements = new Map<string, Acknowledgement>();

  /**
   * @param service - name of the service
   */
  constructor(service: string) {
    this.service = service;
  }

  /**
   * @returns the content of the row; empty before the row exists
   */
  get content(): typeof NO_ROW {
    return this.held?.row ?? NO_ROW;
  }

  /**
   * @param service - the properties that decide how long a lost dispatcher's
   * requests may run
   */
  configure(service: { checksGrants: boolean; maxRunMs: number }): void {
    this.#checksGrants = service.checksGrants;
    this.#maxRunMs = service.maxRunMs;
  }

  /**
   * Takes the row that the former coordinator left. Every dispatch term counts
   * as held for one lease TTL, and requests or grants of a dispatch term that
   * was replaced shortly before may still be in force.
   *
   * @param revision - revision of the row
   * @param row - the row
   * @param term - `since` start of the term; `ttlMs` of dispatch leases
   */
  inherit(
    revision: number,
    row: AssignmentRow,
    term: { since: number; ttlMs: number },
  ): void {
    this.held = { revision, row };
    this.#firstRevision = revision;
    for (const [upstream, rowTerm] of Object.entries(row.tenures)) {
      const leaseUntil = term.since + term.ttlMs;
      this.terms.set(
        upstream,
        new DispatchTerm({ ...rowTerm, incarnation: undefined, leaseUntil }),
      );
      this.#quietAt.set(
        upstream,
        this.#checksGrants ? leaseUntil : term.since + this.#maxRunMs,
      );
    }
  }

  /**
   * Takes a row that was written in this term.
   *
   * @param revision - revision of the row
   * @param row - the row
   * @param time - `now` on the coordinator's clock; `ttlMs` of dispatch leases
   * @returns whether the row is newer than the known one
   */
  adopt(
    revision: number,
    row: AssignmentRow,
    time: { now: number; ttlMs: number },
  ): boolean {
    if (this.held !== undefined && this.held.revision >= revision) return false;
    const before = this.content;
    this.held = { revision, row };
    this.#noteNewOwners(before, revision);
    for (const [upstream, term] of this.terms) {
      const rowTerm = row.tenures[upstream];
      if (rowTerm?.epoch === term.epoch) continue;
      this.#quietAt.set(
        upstream,
        Math.max(this.#quietOf(upstream), this.#quietAfter(term, time.now)),
      );
      this.terms.delete(upstream);
    }
    for (const [upstream, rowTerm] of Object.entries(row.tenures)) {
      if (this.terms.has(upstream)) continue;
      this.terms.set(
        upstream,
        new DispatchTerm({
          ...rowTerm,
          incarnation: this.intended.get(`${upstream}/${rowTerm.epoch}`),
          leaseUntil: time.now + time.ttlMs,
        }),
      );
    }
    for (const [place, wait] of this.#acknowledgements) {
      const upstream = place.slice(place.indexOf("@") + 1);
      if (this.terms.get(upstream)?.epoch !== wait.epoch) {
        this.#acknowledgements.delete(place);
      }
    }
    for (const [unit, move] of this.moves) {
      if (this.#isDone(unit, move, before.pins)) this.moves.delete(unit);
    }
    return true;
  }

  /**
   * Takes what a router process says of its dispatch terms of this service.
   *
   * @param report - a report that is newer than the last one of the process
   * @param coordinator - `epoch` of its term, and `now` on its clock
   */
  accept(
    report: RenewParams,
    coordinator: { epoch: number; now: number },
  ): void {
    const mine = <T extends { service: string }>(items: readonly T[]): T[] =>
      items.filter((item) => item.service === this.service);
    const tenures = mine(report.tenures);
    for (const { upstream, epoch } of tenures) {
      const term = this.terms.get(upstream);
      if (term?.vm === report.vm && term.epoch === epoch) {
        term.incarnation ??= report.incarnation;
      }
    }
    // A report that was written before the router heard of this coordinator may
    // speak of releases that another coordinator has taken back since.
    if (report.coordinatorEpoch !== coordinator.epoch) return;
    for (const { upstream, epoch } of mine(report.ended)) {
      const term = this.terms.get(upstream);
      if (term?.vm !== report.vm || term.epoch !== epoch) continue;
      term.incarnation ??= report.incarnation;
      if (term.incarnation === report.incarnation) term.ended = true;
    }
    const revision = report.rows[this.service] ?? 0;
    const released = mine(report.released);
    for (const { upstream, unit, readyInMs } of released) {
      const term = this.terms.get(upstream);
      if (
        term?.belongsTo(report.vm, report.incarnation) !== true ||
        !tenures.some((item) =>
          item.upstream === upstream && item.epoch === term.epoch
        ) ||
        this.moves.get(unit)?.source !== upstream ||
        revision < this.#ownedSinceOf(unit)
      ) continue;
      const readyAt = coordinator.now + readyInMs;
      const known = term.released.get(unit) ?? Infinity;
      term.released.set(unit, Math.min(known, readyAt));
    }
    for (const [place, wait] of this.#acknowledgements) {
      if (
        wait.vm === report.vm && wait.incarnation === report.incarnation &&
        revision >= wait.revision &&
        !released.some((item) => `${item.unit}@${item.upstream}` === place)
      ) this.#acknowledgements.delete(place);
    }
  }

  /**
   * @param unit - a shard or pinned key
   * @returns the upstream that owns it by the present row; for a digest that is
   * not pinned, the owner of its shard
   */
  ownerOfUnit(unit: string): string | undefined {
    const { upstreams, shards, pins } = this.content;
    if (unit.startsWith("shard:")) {
      return upstreams[shards[Number(unit.slice("shard:".length))] ?? -1]?.id;
    }
    const digest = unit.slice("pin:".length);
    return pins[digest] ?? this.ownerByShard(digest);
  }

  /**
   * @param digest - digest of a key
   * @returns the upstream that owns the key's shard
   */
  ownerByShard(digest: string): string | undefined {
    const { upstreams, shards } = this.content;
    if (shards.length === 0) return undefined;
    return upstreams[shards[shardOf(digest, shards.length)] ?? -1]?.id;
  }

  /**
   * @param unit - a unit that is released from its owner
   * @param owner - its owner
   * @returns time from which the owner cannot serve the unit any more
   */
  freeAt(unit: string, owner: string): number {
    const term = this.terms.get(owner);
    const quiet = this.#quietOf(owner);
    if (term === undefined) return quiet;
    const byLoss = term.quietAt(this.#limits());
    const released = term.released.get(unit) ?? Infinity;
    return Math.max(quiet, Math.min(byLoss, released));
  }

  /**
   * Must be called before a write that moves units away from a dispatch term
   * without its release, or that replaces the dispatch term.
   *
   * @param upstream - upstream of the dispatch term
   * @param now - the coordinator's clock
   */
  retire(upstream: string, now: number): void {
    const term = this.terms.get(upstream);
    if (term !== undefined && now >= term.leaseUntil) {
      term.retired = true;
    }
  }

  /**
   * A router that released a unit refuses it until it has seen the row without
   * it. Giving the unit back before would leave it unserved.
   *
   * @param unit - a unit
   * @param upstream - its new owner
   * @returns whether the upstream's dispatcher would accept the unit
   */
  mayReceive(unit: string, upstream: string): boolean {
    const wait = this.#acknowledgements.get(`${unit}@${upstream}`);
    return wait === undefined ||
      this.terms.get(upstream)?.epoch !== wait.epoch;
  }

  #isDone(
    unit: string,
    move: Move,
    pinsBefore: AssignmentRow["pins"],
  ): boolean {
    if (this.ownerOfUnit(unit) !== move.source) return true;
    if (!unit.startsWith("pin:")) return false;
    // The upstream that a key was pinned to may own the key's shard as well.
    const digest = unit.slice("pin:".length);
    return pinsBefore[digest] !== undefined &&
      this.content.pins[digest] === undefined;
  }

  #limits(): { checksGrants: boolean; maxRunMs: number } {
    return { checksGrants: this.#checksGrants, maxRunMs: this.#maxRunMs };
  }

  #quietOf(upstream: string): number {
    return this.#quietAt.get(upstream) ?? -Infinity;
  }

  #quietAfter(term: DispatchTerm, now: number): number {
    // A dispatch term that was replaced while its lease may be in force comes
    // from a row that this coordinator did not plan.
    return Math.max(
      term.quietAt(this.#limits()),
      term.isOver(now) ? 0 : now,
    );
  }

  #ownedSinceOf(unit: string): number {
    return this.#ownedSince.get(unit) ?? this.#firstRevision;
  }

  #noteNewOwners(
    before: Pick<AssignmentRow, "upstreams" | "shards" | "pins">,
    revision: number,
  ): void {
    const { upstreams, shards, pins } = this.content;
    for (const [shard, position] of shards.entries()) {
      const former = before.upstreams[before.shards[shard] ?? -1]?.id;
      if (upstreams[position]?.id !== former) {
        this.#noteNewOwner(`shard:${shard}`, former, revision);
      }
    }
    const digests = new Set([
      ...Object.keys(before.pins),
      ...Object.keys(pins),
    ]);
    for (const digest of digests) {
      if (before.pins[digest] === pins[digest]) continue;
      const unit = `pin:${digest}`;
      const former = this.moves.get(unit)?.source ?? before.pins[digest];
      this.#noteNewOwner(unit, former, revision);
    }
  }

  #noteNewOwner(
    unit: string,
    former: string | undefined,
    revision: number,
  ): void {
    this.#ownedSince.set(unit, revision);
    if (former === undefined) return;
    const term = this.terms.get(former);
    term?.released.delete(unit);
    if (
      term?.incarnation === undefined || term.ended || term.retired
    ) return;
    this.#acknowledgements.set(`${unit}@${former}`, {
      vm: term.vm,
      incarnation: term.incarnation,
      epoch: term.epoch,
      revision,
    });
  }
}
