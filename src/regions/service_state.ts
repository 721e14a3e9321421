import type { AssignmentRow } from "../shards/assignment_row.ts";
import { shardOf } from "../shards/shard_of.ts";
import type { RenewParams } from "./renew_params.ts";
import { DispatchTerm } from "./dispatch_term.ts";

type Move = {
  source: string;
  /** Undefined if the unit is to have no owner of its own. */
  target: string | undefined;
};
type Acknowledgement = {
  vm: string;
  incarnation: string;
  epoch: number;
  revision: number;
};

const EMPTY_CONTENT: Pick<
  AssignmentRow,
  "upstreams" | "shards" | "tenures" | "pins"
> = { upstreams: [], shards: [], tenures: {}, pins: {} };

/** State of one service during a coordinator term. */
export class ServiceState {
  readonly service: string;
  /** The assignment row as last read or written. */
  held: { revision: number; row: AssignmentRow } | undefined;
  /** Units that the dispatcher of their current owner is asked to release. */
  readonly moves = new Map<string, Move>();
  /** Dispatch terms of the row, by upstream id. */
  readonly terms = new Map<string, DispatchTerm>();
  /** Whether a write is in progress or its outcome is unknown. */
  hasPendingWrite = false;
  /**
   * Incarnation of the process chosen for a dispatch term that is being
   * written, by upstream/epoch.
   */
  readonly chosenIncarnations = new Map<string, string>();
  /** Whether the last write conflicted with a row of another region. */
  gainsBlocked = false;
  /** Time at which the first unit of the next batch could be moved. */
  batchSince: number | undefined;
  /** Result `belowThresholdSince` of the last `planPins` call. */
  belowThresholdSince: ReadonlyMap<string, number> = new Map();
  #checksGrants = true;
  #maxRunMs = 0;
  /**
   * Time from which no request or grant of former dispatch terms is left, by
   * upstream id.
   */
  readonly #drainedAt = new Map<string, number>();
  /** Revision of the row that assigned the unit to its current owner. */
  readonly #ownedSinceRevision = new Map<string, number>();
  /** Revision of the row at the start of the term. */
  #firstRevision = 0;
  /**
   * Processes that lost a unit and have not yet reported the row without it, by
   * unit and upstream.
   */
  readonly #awaitedAcknowledgements = new Map<string, Acknowledgement>();

  /**
   * @param service - name of the service
   */
  constructor(service: string) {
    this.service = service;
  }

  /**
   * @returns the content of the row; empty if the row does not exist yet
   */
  get content(): typeof EMPTY_CONTENT {
    return this.held?.row ?? EMPTY_CONTENT;
  }

  /**
   * Applies the settings of the service.
   *
   * @param service - the settings that decide how long requests of a lost
   * dispatcher may run; `maxRunMs` in milliseconds
   */
  configure(service: { checksGrants: boolean; maxRunMs: number }): void {
    this.#checksGrants = service.checksGrants;
    this.#maxRunMs = service.maxRunMs;
  }

  /**
   * Adopts the row of the former coordinator. Every dispatch term counts as
   * held for one lease TTL, and requests or grants of a dispatch term that was
   * replaced shortly before the takeover may still be in force.
   *
   * @param revision - revision of the row
   * @param row - the row
   * @param term - `since`, start of the coordinator term, and `ttlMs` of
   * dispatch leases, in milliseconds
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
      this.#drainedAt.set(
        upstream,
        this.#checksGrants ? leaseUntil : term.since + this.#maxRunMs,
      );
    }
  }

  /**
   * Adopts a row that was written in this coordinator term, unless a newer one
   * is known.
   *
   * @param revision - revision of the row
   * @param row - the row
   * @param time - `now` on the coordinator's clock, and `ttlMs` of dispatch
   * leases, in milliseconds
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
    this.#recordNewOwners(before, revision);
    for (const [upstream, term] of this.terms) {
      const rowTerm = row.tenures[upstream];
      if (rowTerm?.epoch === term.epoch) continue;
      this.#drainedAt.set(
        upstream,
        Math.max(
          this.#drainedAtOf(upstream),
          this.#drainedAfter(term, time.now),
        ),
      );
      this.terms.delete(upstream);
    }
    for (const [upstream, rowTerm] of Object.entries(row.tenures)) {
      if (this.terms.has(upstream)) continue;
      this.terms.set(
        upstream,
        new DispatchTerm({
          ...rowTerm,
          incarnation: this.chosenIncarnations.get(
            `${upstream}/${rowTerm.epoch}`,
          ),
          leaseUntil: time.now + time.ttlMs,
        }),
      );
    }
    for (const [key, acknowledgement] of this.#awaitedAcknowledgements) {
      const upstream = key.slice(key.indexOf("@") + 1);
      if (this.terms.get(upstream)?.epoch !== acknowledgement.epoch) {
        this.#awaitedAcknowledgements.delete(key);
      }
    }
    for (const [unit, move] of this.moves) {
      if (this.#isDone(unit, move, before.pins)) this.moves.delete(unit);
    }
    return true;
  }

  /**
   * Records what a router process reports about its dispatch terms of this
   * service: which it holds, which have ended and which units are released.
   *
   * @param report - a report that is newer than the last one of the process
   * @param coordinator - `epoch` of the coordinator term, and `now` on its
   * clock
   */
  accept(
    report: RenewParams,
    coordinator: { epoch: number; now: number },
  ): void {
    const ofThisService = <T extends { service: string }>(
      items: readonly T[],
    ): T[] => items.filter((item) => item.service === this.service);
    const tenures = ofThisService(report.tenures);
    for (const { upstream, epoch } of tenures) {
      const term = this.terms.get(upstream);
      if (term?.vm === report.vm && term.epoch === epoch) {
        term.incarnation ??= report.incarnation;
      }
    }
    // A report made before the router received an answer of this coordinator
    // may list releases that a former coordinator has cancelled since.
    if (report.coordinatorEpoch !== coordinator.epoch) return;
    for (const { upstream, epoch, readyInMs } of ofThisService(report.ended)) {
      const term = this.terms.get(upstream);
      if (term?.vm !== report.vm || term.epoch !== epoch) continue;
      term.incarnation ??= report.incarnation;
      if (term.incarnation !== report.incarnation) continue;
      term.end(coordinator.now + (readyInMs ?? this.#maxRunMs));
    }
    const revision = report.rows[this.service] ?? 0;
    const released = ofThisService(report.released);
    for (const { upstream, unit, readyInMs } of released) {
      const term = this.terms.get(upstream);
      if (
        term?.belongsTo(report.vm, report.incarnation) !== true ||
        !tenures.some((item) =>
          item.upstream === upstream && item.epoch === term.epoch
        ) ||
        this.moves.get(unit)?.source !== upstream ||
        revision < this.#ownedSinceRevisionOf(unit)
      ) continue;
      const readyAt = coordinator.now + readyInMs;
      const known = term.released.get(unit) ?? Infinity;
      term.released.set(unit, Math.min(known, readyAt));
    }
    for (const [key, acknowledgement] of this.#awaitedAcknowledgements) {
      if (
        acknowledgement.vm === report.vm &&
        acknowledgement.incarnation === report.incarnation &&
        revision >= acknowledgement.revision &&
        !released.some((item) => `${item.unit}@${item.upstream}` === key)
      ) this.#awaitedAcknowledgements.delete(key);
    }
  }

  /**
   * @param unit - a shard or pinned key
   * @returns the upstream that owns it in the current row; for a key that is
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
   * @param unit - a unit that its owner is to release
   * @param owner - upstream that owns it
   * @returns time from which the owner can no longer serve the unit, on the
   * coordinator's clock
   */
  freeAt(unit: string, owner: string): number {
    const term = this.terms.get(owner);
    const formerTermsDrainedAt = this.#drainedAtOf(owner);
    if (term === undefined) return formerTermsDrainedAt;
    const drainedAt = term.drainedAt(this.#drainSettings());
    const released = term.released.get(unit) ?? Infinity;
    return Math.max(formerTermsDrainedAt, Math.min(drainedAt, released));
  }

  /**
   * Marks the dispatch term of an upstream as retired if its lease has expired.
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
   * Returns whether a unit may be assigned to an upstream. A router that has
   * released a unit refuses its requests until it has received the row without
   * it. A unit that is assigned back before that would not be served.
   *
   * @param unit - a shard or pinned key
   * @param upstream - its new owner
   * @returns whether the upstream's dispatcher would accept the unit
   */
  mayReceive(unit: string, upstream: string): boolean {
    const acknowledgement = this.#awaitedAcknowledgements.get(
      `${unit}@${upstream}`,
    );
    return acknowledgement === undefined ||
      this.terms.get(upstream)?.epoch !== acknowledgement.epoch;
  }

  #isDone(
    unit: string,
    move: Move,
    pinsBefore: AssignmentRow["pins"],
  ): boolean {
    if (this.ownerOfUnit(unit) !== move.source) return true;
    if (!unit.startsWith("pin:")) return false;
    // The upstream that the key was pinned to may also own the key's shard, so
    // the owner stays the same when the pin ends.
    const digest = unit.slice("pin:".length);
    return pinsBefore[digest] !== undefined &&
      this.content.pins[digest] === undefined;
  }

  #drainSettings(): { checksGrants: boolean; maxRunMs: number } {
    return { checksGrants: this.#checksGrants, maxRunMs: this.#maxRunMs };
  }

  #drainedAtOf(upstream: string): number {
    return this.#drainedAt.get(upstream) ?? -Infinity;
  }

  #drainedAfter(term: DispatchTerm, now: number): number {
    // This coordinator replaces a dispatch term only when it is over. Otherwise
    // the new row was not planned by it, and the lease may still be in force.
    return Math.max(
      term.drainedAt(this.#drainSettings()),
      term.isOver(now) ? 0 : now,
    );
  }

  #ownedSinceRevisionOf(unit: string): number {
    return this.#ownedSinceRevision.get(unit) ?? this.#firstRevision;
  }

  #recordNewOwners(
    before: Pick<AssignmentRow, "upstreams" | "shards" | "pins">,
    revision: number,
  ): void {
    const { upstreams, shards, pins } = this.content;
    for (const [shard, position] of shards.entries()) {
      const previousOwner = before.upstreams[before.shards[shard] ?? -1]?.id;
      if (upstreams[position]?.id !== previousOwner) {
        this.#recordNewOwner(`shard:${shard}`, previousOwner, revision);
      }
    }
    const digests = new Set([
      ...Object.keys(before.pins),
      ...Object.keys(pins),
    ]);
    for (const digest of digests) {
      if (before.pins[digest] === pins[digest]) continue;
      const unit = `pin:${digest}`;
      const previousOwner = this.moves.get(unit)?.source ?? before.pins[digest];
      this.#recordNewOwner(unit, previousOwner, revision);
    }
  }

  #recordNewOwner(
    unit: string,
    previousOwner: string | undefined,
    revision: number,
  ): void {
    this.#ownedSinceRevision.set(unit, revision);
    if (previousOwner === undefined) return;
    const term = this.terms.get(previousOwner);
    term?.released.delete(unit);
    if (
      term?.incarnation === undefined || term.ended || term.retired
    ) return;
    this.#awaitedAcknowledgements.set(`${unit}@${previousOwner}`, {
      vm: term.vm,
      incarnation: term.incarnation,
      epoch: term.epoch,
      revision,
    });
  }
}
