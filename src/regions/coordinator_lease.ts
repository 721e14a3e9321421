import { randomUUID } from "node:crypto";
import { err, type Result, ResultAsync } from "neverthrow";
import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { TableError } from "../contracts/table_error.ts";
import type { TableOutcome } from "../contracts/table_outcome.ts";
import type { TableService } from "../contracts/table_service.ts";
import type { TableTransaction } from "../contracts/table_transaction.ts";
import type { CoordinatorView } from "../vms/coordinator_view.ts";
import type { MemberRegistration } from "../vms/member_registration.ts";
import type { MemberRow } from "../vms/member_row.ts";
import type { MemberView } from "../vms/member_view.ts";
import type { StoreContact } from "../vms/store_contact.ts";
import type { StorePoller } from "../vms/store_poller.ts";
import type { VmListPoller } from "../vms/vm_list_poller.ts";
import { waitForChange } from "../vms/wait_for_change.ts";
import { withTimeout } from "../vms/with_timeout.ts";
import type { CoordinatorLeaseView } from "./coordinator_lease_view.ts";
import type { CoordinatorRow } from "./coordinator_row.ts";
import { LeaseAttempts } from "./lease_attempts.ts";
import { LeaseObservation } from "./lease_observation.ts";
import type { LeaseRead } from "./lease_read.ts";
import { LeaseRowReader } from "./lease_row_reader.ts";

type Attempt = ReturnType<LeaseAttempts["prepare"]>;

type Lease = {
  epoch: number;
  since: number;
  /** When the last renewal that took effect was sent. */
  renewedAt: number;
  revision: number;
  row: CoordinatorRow;
};

/**
 * The coordinator lease of the router's region, see the design page, sections
 * 6.1 and 7.
 */
export class CoordinatorLease implements CoordinatorLeaseView {
  readonly changed = new ChangeNotifier();

  readonly #table: TableService;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #self: Pick<
    MemberRow,
    "vm" | "incarnation" | "region" | "peerUrl"
  >;
  readonly #ttlMs: number;
  readonly #renewMs: number;
  /**
   * Two attempts fit into a TTL, so that one on a silent connection does not
   * cost the lease.
   */
  readonly #attemptMs: number;
  readonly #contact: StoreContact;
  readonly #poller: Pick<StorePoller, "lastSentAt">;
  readonly #registration: Pick<MemberRegistration, "revision">;
  readonly #members: MemberView;
  readonly #coordinators: CoordinatorView;
  readonly #vmList: Pick<VmListPoller, "absentSince">;
  readonly #key: string;

  #lease: Lease | undefined;
  readonly #attempts: LeaseAttempts;
  readonly #observation: LeaseObservation;
  readonly #reader: LeaseRowReader;
  #stopped = false;
  #notifiedEpoch: number | undefined;
  #queue: Promise<unknown> = Promise.resolve();

  /**
   * @param options - `table` with the lease row, `self` as in the member row,
   * `ttlMs` and `renewMs` from the settings, `contact` for the store mode and
   * witnesses, `registration` of this router, and `poller`, `members`,
   * `coordinators` and `vmList`, which show whether the holder is gone
   */
  constructor(
    options: {
      table: TableService;
      clock: Clock;
      logger: Logger;
      self: Pick<MemberRow, "vm" | "incarnation" | "region" | "peerUrl">;
      ttlMs: number;
      renewMs: number;
      contact: StoreContact;
      poller: Pick<StorePoller, "lastSentAt">;
      registration: Pick<MemberRegistration, "revision">;
      members: MemberView;
      coordinators: CoordinatorView;
      vmList: Pick<VmListPoller, "absentSince">;
    },
  ) {
    this.#table = options.table;
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#self = options.self;
    this.#ttlMs = options.ttlMs;
    this.#renewMs = options.renewMs;
    this.#attemptMs = options.ttlMs / 2;
    this.#contact = options.contact;
    this.#poller = options.poller;
    this.#registration = options.registration;
    this.#members = options.members;
    this.#coordinators = options.coordinators;
    this.#vmList = options.vmList;
    this.#key = `coordinators/${options.self.region}`;
    this.#attempts = new LeaseAttempts(options);
    this.#observation = new LeaseObservation(options.ttlMs);
    this.#reader = new LeaseRowReader({
      ...options,
      key: this.#key,
      timeoutMs: this.#attemptMs,
    });
  }

  held(): { epoch: number; since: number; revision: number } | undefined {
    const lease = this.#lease;
    if (lease === undefined || this.#stopped) return undefined;
    const isValid = this.#clock.now() < lease.renewedAt + this.#ttlMs ||
      this.#contact.covers(lease.epoch);
    if (!isValid) return undefined;
    const { epoch, since, revision } = lease;
    return { epoch, since, revision };
  }

  writeFenced(
    tx: TableTransaction,
    signal: AbortSignal,
  ): ReturnType<CoordinatorLeaseView["writeFenced"]> {
    return new ResultAsync(this.#exclusive<
      Result<TableOutcome, TableError | { kind: "not_held" }>
    >(async () => {
      const held = this.held();
      if (
        held === undefined || signal.aborted ||
        this.#contact.mode() !== "current"
      ) return err({ kind: "not_held" });
      return await this.#transact({
        conditions: [
          { key: this.#key, revision: held.revision },
          ...tx.conditions,
        ],
        writes: tx.writes,
      }, signal);
    }));
  }

  /**
   * Observes the lease row, takes the lease over and renews it, until the
   * signal aborts.
   *
   * @param signal - ends the task; the lease then expires unless released
   */
  async run(signal: AbortSignal): Promise<void> {
    let nextAt = this.#clock.now();
    let lastMode = this.#contact.mode();
    while (!signal.aborted) {
      const mode = this.#contact.mode();
      const isBack = mode === "current" && lastMode !== "current";
      lastMode = mode;
      if (this.#clock.now() >= nextAt || isBack) {
        nextAt = this.#clock.now() + this.#renewMs;
        await this.#exclusive(() => this.#step(signal));
        nextAt = Math.min(nextAt, this.#observationEndsAt());
      }
      this.#notifyChange();
      await waitForChange({
        clock: this.#clock,
        ms: Math.min(nextAt, this.#expiresAt()) - this.#clock.now(),
        notifiers: [this.#contact.changed],
      }, signal);
    }
  }

  /**
   * Stops acting as coordinator at once and lets others take over without
   * waiting for the TTL.
   *
   * @param signal - ends the attempts; the lease then expires
   */
  async release(signal: AbortSignal): Promise<void> {
    this.#stopped = true;
    this.#notifyChange();
    await this.#exclusive(async () => {
      while (this.#lease !== undefined && !signal.aborted) {
        const lease = this.#lease;
        const row: CoordinatorRow = {
          ...lease.row,
          beat: lease.row.beat + 1,
          writeId: randomUUID(),
          released: true,
        };
        const outcome = await this.#transact({
          conditions: [{ key: this.#key, revision: lease.revision }],
          writes: [{ key: this.#key, value: row }],
        }, signal);
        if (outcome.isErr()) {
          await this.#clock.sleep(this.#renewMs, signal);
        } else if (outcome.value.committed) {
          this.#coordinators.adopt(outcome.value.revision, row);
          this.#drop("released");
        } else {
          this.#settle(this.#reader.take(outcome.value.conflicts));
        }
      }
    });
  }

  /** When `held` changes by the passing of time alone. */
  #expiresAt(): number {
    const at = (this.#lease?.renewedAt ?? 0) + this.#ttlMs;
    return at > this.#clock.now() ? at : Number.POSITIVE_INFINITY;
  }

  /** When a read may show that the holder has stopped renewing. */
  #observationEndsAt(): number {
    const { endsAt } = this.#observation;
    return this.#lease === undefined && endsAt > this.#clock.now()
      ? endsAt
      : Number.POSITIVE_INFINITY;
  }

  #notifyChange(): void {
    const epoch = this.held()?.epoch;
    if (epoch === this.#notifiedEpoch) return;
    this.#notifiedEpoch = epoch;
    this.changed.notify();
  }

  async #exclusive<T>(run: () => Promise<T>): Promise<T> {
    const result = this.#queue.then(run);
    this.#queue = result.catch(() => undefined);
    return await result;
  }

  async #transact(
    transaction: TableTransaction,
    signal: AbortSignal,
  ): Promise<Result<TableOutcome, TableError>> {
    return await withTimeout(
      { clock: this.#clock, ms: this.#attemptMs },
      signal,
      (limited) => this.#table.transact(transaction, limited),
    );
  }

  async #step(signal: AbortSignal): Promise<void> {
    // Nothing is renewed without contact, and an observation made without it
    // would end with a gap anyway.
    if (this.#stopped || this.#contact.mode() !== "current") return;
    if (this.#lease !== undefined) {
      await this.#renew(this.#lease, signal);
      return;
    }
    if (!this.#attempts.pending && !this.#mayBecomeCandidate()) {
      this.#observation.reset();
      return;
    }
    const read = await this.#reader.read(signal);
    if (read === undefined) return;
    this.#settle(read);
    this.#observation.add(read);
    if (this.#mayTakeOver(read)) await this.#takeOver(read, signal);
  }

  /**
   * Routers that cannot take over by what they polled do not read the row by
   * themselves, which bounds the number of reads.
   */
  #mayBecomeCandidate(): boolean {
    const row = this.#coordinators.get(this.#self.region)?.row;
    return row === undefined || this.#isFree(row) || this.#isNamed(row) ||
      this.#isHolderAbsent(row);
  }

  #mayTakeOver(read: LeaseRead): boolean {
    if (
      this.#lease !== undefined || this.#registration.revision === undefined ||
      this.#contact.mode() !== "current" || !this.#contact.mayActOnStore()
    ) return false;
    const { row } = read;
    if (row === undefined || this.#isFree(row)) return true;
    if (!this.#observation.isExpired(read)) return false;
    if (this.#isNamed(row)) return true;
    // Member rows that were read before the holder's lease row may lack the
    // holder's registration.
    return (this.#poller.lastSentAt ?? -1) >=
        (this.#observation.since ?? Infinity) &&
      this.#isHolderAbsent(row);
  }

  #isFree(row: CoordinatorRow): boolean {
    return row.released === true;
  }

  #isNamed(row: CoordinatorRow): boolean {
    return row.witnessIncarnations?.[this.#self.vm] === this.#self.incarnation;
  }

  #isHolderAbsent(row: CoordinatorRow): boolean {
    return this.#members.get(row.vm)?.incarnation !== row.incarnation ||
      this.#vmList.absentSince(row.vm) !== undefined;
  }

  async #takeOver(read: LeaseRead, signal: AbortSignal): Promise<void> {
    const registration = this.#registration.revision;
    if (registration === undefined) return;
    const attempt = this.#attempts.prepare({
      required: read.revision,
      epoch: (read.row?.epoch ?? 0) + 1,
      beat: 0,
    });
    // As a witness this router names the epoch from now on, since the write
    // may take effect at any time.
    this.#contact.claimEpoch(attempt.row.epoch);
    const outcome = await this.#transact({
      conditions: [
        { key: this.#key, revision: read.revision },
        // A write of a process that has since been replaced must fail: its
        // successor vouches for what its VM did.
        { key: `members/${this.#self.vm}`, revision: registration },
      ],
      writes: [{ key: this.#key, value: attempt.row }],
    }, signal);
    this.#finish(attempt, outcome);
    if (this.#lease === undefined && this.#attempts.pending) {
      this.#settle(await this.#reader.read(signal));
    }
  }

  async #renew(lease: Lease, signal: AbortSignal): Promise<void> {
    const attempt = this.#attempts.prepare({
      required: lease.revision,
      epoch: lease.epoch,
      beat: lease.row.beat + 1,
    });
    const outcome = await this.#transact({
      conditions: [{ key: this.#key, revision: lease.revision }],
      writes: [{ key: this.#key, value: attempt.row }],
    }, signal);
    this.#finish(attempt, outcome);
    if (outcome.isErr() && outcome.error.kind === "unknown") {
      this.#settle(await this.#reader.read(signal));
    }
  }

  #finish(
    attempt: Attempt,
    outcome: Result<TableOutcome, TableError>,
  ): void {
    if (outcome.isErr()) {
      if (outcome.error.kind === "unavailable") {
        this.#attempts.withdraw(attempt);
      }
      return;
    }
    if (outcome.value.committed) {
      this.#won(attempt, outcome.value.revision);
      return;
    }
    this.#attempts.withdraw(attempt);
    this.#settle(this.#reader.take(outcome.value.conflicts));
  }

  /** Draws conclusions for open attempts from the present row. */
  #settle(read: LeaseRead | undefined): void {
    if (read === undefined) return;
    const { row, revision } = read;
    const won = this.#attempts.find(row);
    if (won !== undefined) {
      this.#won(won, revision);
      return;
    }
    this.#attempts.withdrawOutdated(revision);
    const lease = this.#lease;
    if (lease === undefined || lease.revision === revision) return;
    this.#logger.warn(
      { region: this.#self.region, epoch: lease.epoch, newer: row?.epoch },
      "another router took the coordinator lease",
    );
    this.#drop("lost");
  }

  #won(attempt: Attempt, revision: number): void {
    const { row } = attempt;
    const earlier = this.#lease;
    this.#coordinators.adopt(revision, row);
    if (earlier?.epoch !== row.epoch) {
      this.#logger.info(
        { region: row.region, epoch: row.epoch },
        "took the coordinator lease",
      );
    }
    this.#lease = {
      epoch: row.epoch,
      since: earlier?.epoch === row.epoch ? earlier.since : this.#clock.now(),
      renewedAt: attempt.sentAt,
      revision,
      row,
    };
    this.#attempts.onWon(attempt);
  }

  #drop(reason: string): void {
    this.#lease = undefined;
    this.#observation.reset();
    this.#logger.info({ region: this.#self.region, reason }, "lease ended");
    this.#attempts.clear();
    this.#notifyChange();
  }
}
