import { randomUUID } from "node:crypto";
import type { Clock } from "../base/clock.ts";
import type { MemberRow } from "../vms/member_row.ts";
import type { StoreContact } from "../vms/store_contact.ts";
import type { CoordinatorRow } from "./coordinator_row.ts";

type WitnessSet = ReturnType<StoreContact["addWitnesses"]>;

/** A write of the lease row whose outcome may be unknown. */
type Attempt = {
  row: CoordinatorRow;
  sentAt: number;
  /** Revision of the lease row that the write requires. */
  requiredRevision: number;
  witnessSet: WitnessSet;
};

type Options = {
  self: Pick<MemberRow, "vm" | "incarnation" | "region" | "peerUrl">;
  contact: Pick<StoreContact, "witnesses" | "addWitnesses" | "setPendingEpoch">;
  clock: Clock;
};

/**
 * Tracks takeovers and renewals of a coordinator lease whose outcome is
 * unknown, and the witnesses that they name.
 */
export class LeaseAttempts {
  readonly #options: Options;
  /** Oldest first. */
  #unresolved: Attempt[] = [];
  #witnessSets: WitnessSet[] = [];

  /**
   * @param opts - identity of the writer, contact to witnesses, and the clock
   */
  constructor(opts: Options) {
    this.#options = opts;
  }

  /**
   * @returns whether the outcome of any write is unknown
   */
  get pending(): boolean {
    return this.#unresolved.length > 0;
  }

  /**
   * Registers an attempt before its row is written.
   *
   * @param next - `requiredRevision` of the lease row, and epoch and beat of
   * the new row
   * @returns the attempt, with the row to write
   */
  prepare(
    next: { requiredRevision: number; epoch: number; beat: number },
  ): Attempt {
    const { self, contact, clock } = this.#options;
    const witnesses = contact.witnesses();
    const witnessSet = contact.addWitnesses("lease", witnesses);
    this.#witnessSets.push(witnessSet);
    const attempt: Attempt = {
      row: {
        schema: 1,
        region: self.region,
        vm: self.vm,
        incarnation: self.incarnation,
        peerUrl: self.peerUrl,
        epoch: next.epoch,
        beat: next.beat,
        witnesses: Object.keys(witnesses),
        witnessIncarnations: witnesses,
        writeId: randomUUID(),
      },
      sentAt: clock.now(),
      requiredRevision: next.requiredRevision,
      witnessSet,
    };
    this.#unresolved.push(attempt);
    return attempt;
  }

  /**
   * @param row - the current lease row
   * @returns the attempt that wrote it, if its outcome was unknown
   */
  find(row: CoordinatorRow | undefined): Attempt | undefined {
    return this.#unresolved.find((attempt) =>
      attempt.row.writeId === row?.writeId
    );
  }

  /**
   * Resolves every attempt: this one took effect, so all others have failed.
   *
   * @param attempt - the attempt that took effect
   */
  onCommitted(attempt: Attempt): void {
    // Every other attempt required a revision that is no longer current.
    for (const other of this.#unresolved) {
      if (other !== attempt) other.witnessSet.withdraw();
    }
    this.#unresolved = [];
    this.#witnessSets = [attempt.witnessSet];
    attempt.witnessSet.confirm();
    this.#options.contact.setPendingEpoch(0);
  }

  /**
   * Removes an attempt that has certainly failed.
   *
   * @param attempt - the failed attempt
   */
  withdraw(attempt: Attempt): void {
    attempt.witnessSet.withdraw();
    this.#witnessSets = this.#witnessSets.filter((set) =>
      set !== attempt.witnessSet
    );
    this.#unresolved = this.#unresolved.filter((other) => other !== attempt);
    if (this.#unresolved.length === 0) this.#options.contact.setPendingEpoch(0);
  }

  /**
   * Removes the attempts that require another revision than the current one.
   *
   * @param revision - current revision of the lease row
   */
  withdrawOutdated(revision: number): void {
    // An attempt can take effect as long as the row has not changed.
    for (const attempt of this.#unresolved) {
      if (attempt.requiredRevision !== revision) this.withdraw(attempt);
    }
  }

  /** Removes all attempts and their witnesses once the lease has ended. */
  clear(): void {
    for (const set of this.#witnessSets) set.withdraw();
    this.#witnessSets = [];
    this.#unresolved = [];
    this.#options.contact.setPendingEpoch(0);
  }
}
