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
  acquiredAt: number;
  /** Time at which the last renewal that took effect was sent. */
  renewedAt: number;
  revision: number;
  row: CoordinatorRow;
};

/**
 * Acquires, renews and releases the coordinator lease of the router's region,
 * as described in sections 6.1 and 7 of the design page.
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
   * Longest time of one read or write. Two attempts fit into a TTL, so that one
   * on a connection that hangs does not cost the lease.
   */
  readonly #attemptTimeoutMs: number;
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
  #lastOperation: Promise<unknown> = Promise.resolve();

  /**
   * @param options - `table` with the lease row, `self` as in the member row,
   * `ttlMs` and `renewMs` from the settings, `contact` for the store mode and
   * witnesses, `registration` of this router, and `poller`, `members`,
   * `coordinators` and `vmList`, which show whether the holder is absent
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
    this.#attemptTimeoutMs = options.ttlMs / 2;
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
      timeoutMs: this.#attemptTimeoutMs,
    });
  }

  held(): { epoch: number; acquiredAt: number; revision: number } | undefined {
    const lease = this.#lease;
    if (lease === undefined || this.#stopped) return undefined;
    const isValid = this.#clock.now() < lease.renewedAt + this.#ttlMs ||
      this.#contact.excludesTakeover(lease.epoch);
    if (!isValid) return undefined;
    const { epoch, acquiredAt, revision } = lease;
    return { epoch, acquiredAt, revision };
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
   * Observes the lease row, and acquires and renews the lease, until the signal
   * aborts.
   *
   * @param signal - ends the task; the lease then expires unless released
   */
  async run(signal: AbortSignal): Promise<void> {
    let nextAt = this.#clock.now();
    let lastMode = this.#contact.mode();
    while (!signal.aborted) {
      const mode = this.#contact.mode();
      const hasBecomeCurrent = mode === "current" && lastMode !== "current";
      lastMode = mode;
      if (this.#clock.now() >= nextAt || hasBecomeCurrent) {
        nextAt = this.#clock.now() + this.#renewMs;
        await this.#exclusive(() => this.#acquireOrRenew(signal));
        nextAt = Math.min(nextAt, this.#observationCheckAt());
      }
      this.#notifyIfChanged();
      await waitForChange({
        clock: this.#clock,
        ms: Math.min(nextAt, this.#expiresAt()) - this.#clock.now(),
        notifiers: [this.#contact.changed],
      }, signal);
    }
  }

  /**
   * Stops acting as coordinator at once and releases the lease, so that another
   * router can acquire it without waiting for the TTL.
   *
   * @param signal - ends the attempts to release; the lease then expires
   */
  async release(signal: AbortSignal): Promise<void> {
    this.#stopped = true;
    this.#notifyIfChanged();
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
          this.#endLease("released");
        } else {
          this.#resolveAttempts(
            this.#reader.adoptFrom(outcome.value.conflicts),
          );
        }
      }
    });
  }

  /**
   * Returns the time at which the result of `held` may change because the TTL
   * has passed; Infinity if there is none.
   */
  #expiresAt(): number {
    const at = (this.#lease?.renewedAt ?? 0) + this.#ttlMs;
    return at > this.#clock.now() ? at : Number.POSITIVE_INFINITY;
  }

  /**
   * Returns the time from which a read may show that the holder has stopped
   * renewing; Infinity if there is none.
   */
  #observationCheckAt(): number {
    const { endsAt } = this.#observation;
    return this.#lease === undefined && endsAt > this.#clock.now()
      ? endsAt
      : Number.POSITIVE_INFINITY;
  }

  #notifyIfChanged(): void {
    const epoch = this.held()?.epoch;
    if (epoch === this.#notifiedEpoch) return;
    this.#notifiedEpoch = epoch;
    this.changed.notify();
  }

  /** Runs one operation on the lease row at a time. */
  async #exclusive<T>(run: () => Promise<T>): Promise<T> {
    const result = this.#lastOperation.then(run);
    this.#lastOperation = result.catch(() => undefined);
    return await result;
  }

  async #transact(
    transaction: TableTransaction,
    signal: AbortSignal,
  ): Promise<Result<TableOutcome, TableError>> {
    return await withTimeout(
      { clock: this.#clock, ms: this.#attemptTimeoutMs },
      signal,
      (limited) => this.#table.transact(transaction, limited),
    );
  }

  async #acquireOrRenew(signal: AbortSignal): Promise<void> {
    // Without store contact the lease cannot be renewed, and the gap between
    // two reads would restart the observation anyway.
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
    this.#resolveAttempts(read);
    this.#observation.add(read);
    if (this.#mayTakeOver(read)) await this.#takeOver(read, signal);
  }

  /**
   * Returns whether the polled rows allow this router to take over. Other
   * routers do not read the lease row themselves, which bounds the number of
   * reads.
   */
  #mayBecomeCandidate(): boolean {
    const row = this.#coordinators.get(this.#self.region)?.row;
    return row === undefined || this.#isReleased(row) ||
      this.#isNamedWitness(row) ||
      this.#isHolderAbsent(row);
  }

  #mayTakeOver(read: LeaseRead): boolean {
    if (
      this.#lease !== undefined || this.#registration.revision === undefined ||
      this.#contact.mode() !== "current" || !this.#contact.mayActOnStore()
    ) return false;
    const { row } = read;
    if (row === undefined || this.#isReleased(row)) return true;
    if (!this.#observation.isExpired(read)) return false;
    if (this.#isNamedWitness(row)) return true;
    // Member rows that were read before the lease row may not contain the
    // holder's registration yet.
    return (this.#poller.lastSentAt ?? -1) >=
        (this.#observation.firstSeenAt ?? Infinity) &&
      this.#isHolderAbsent(row);
  }

  #isReleased(row: CoordinatorRow): boolean {
    return row.released === true;
  }

  #isNamedWitness(row: CoordinatorRow): boolean {
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
      requiredRevision: read.revision,
      epoch: (read.row?.epoch ?? 0) + 1,
      beat: 0,
    });
    // From now on this router reports the epoch when it answers as a witness,
    // since the write may take effect at any time.
    this.#contact.setPendingEpoch(attempt.row.epoch);
    const outcome = await this.#transact({
      conditions: [
        { key: this.#key, revision: read.revision },
        // A write of a process that has been replaced must fail: the VM's new
        // process answers as a witness for all that the VM has written.
        { key: `members/${this.#self.vm}`, revision: registration },
      ],
      writes: [{ key: this.#key, value: attempt.row }],
    }, signal);
    this.#handleOutcome(attempt, outcome);
    if (this.#lease === undefined && this.#attempts.pending) {
      this.#resolveAttempts(await this.#reader.read(signal));
    }
  }

  async #renew(lease: Lease, signal: AbortSignal): Promise<void> {
    const attempt = this.#attempts.prepare({
      requiredRevision: lease.revision,
      epoch: lease.epoch,
      beat: lease.row.beat + 1,
    });
    const outcome = await this.#transact({
      conditions: [{ key: this.#key, revision: lease.revision }],
      writes: [{ key: this.#key, value: attempt.row }],
    }, signal);
    this.#handleOutcome(attempt, outcome);
    if (outcome.isErr() && outcome.error.kind === "unknown") {
      this.#resolveAttempts(await this.#reader.read(signal));
    }
  }

  #handleOutcome(
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
      this.#onAttemptCommitted(attempt, outcome.value.revision);
      return;
    }
    this.#attempts.withdraw(attempt);
    this.#resolveAttempts(this.#reader.adoptFrom(outcome.value.conflicts));
  }

  /** Resolves attempts with an unknown outcome from the current lease row. */
  #resolveAttempts(read: LeaseRead | undefined): void {
    if (read === undefined) return;
    const { row, revision } = read;
    const committed = this.#attempts.find(row);
    if (committed !== undefined) {
      this.#onAttemptCommitted(committed, revision);
      return;
    }
    this.#attempts.withdrawOutdated(revision);
    const lease = this.#lease;
    if (lease === undefined || lease.revision === revision) return;
    this.#logger.warn(
      { region: this.#self.region, epoch: lease.epoch, newer: row?.epoch },
      "another router acquired the coordinator lease",
    );
    this.#endLease("lost");
  }

  #onAttemptCommitted(attempt: Attempt, revision: number): void {
    const { row } = attempt;
    const previous = this.#lease;
    this.#coordinators.adopt(revision, row);
    if (previous?.epoch !== row.epoch) {
      this.#logger.info(
        { region: row.region, epoch: row.epoch },
        "acquired the coordinator lease",
      );
    }
    this.#lease = {
      epoch: row.epoch,
      acquiredAt: previous?.epoch === row.epoch
        ? previous.acquiredAt
        : this.#clock.now(),
      renewedAt: attempt.sentAt,
      revision,
      row,
    };
    this.#attempts.onCommitted(attempt);
  }

  #endLease(reason: string): void {
    this.#lease = undefined;
    this.#observation.reset();
    this.#logger.info(
      { region: this.#self.region, reason },
      "coordinator lease ended",
    );
    this.#attempts.clear();
    this.#notifyIfChanged();
  }
}
