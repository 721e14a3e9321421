import { randomUUID } from "node:crypto";
import type { Clock } from "../base/clock.ts";
import type { MemberRow } from "../vms/member_row.ts";
import type { StoreContact } from "../vms/store_contact.ts";
import type { CoordinatorRow } from "./coordinator_row.ts";

type WitnessSet = ReturnType<StoreContact["expectWitnesses"]>;

/** A write whose outcome may still be open. */
type Attempt = {
  row: CoordinatorRow;
  sentAt: number;
  /** Revision of the lease row that the write requires. */
  required: number;
  set: WitnessSet;
};

type Options = {
  self: Pick<MemberRow, "vm" | "incarnation" | "region" | "peerUrl">;
  contact: Pick<StoreContact, "witnesses" | "expectWitnesses" | "claimEpoch">;
  clock: Clock;
};

/**
 * Takeovers and renewals of a coordinator lease whose outcome is open, and the
 * witnesses that they name.
 */
export class LeaseAttempts {
  readonly #opts: Options;
  /** Oldest first. */
  #open: Attempt[] = [];
  #sets: WitnessSet[] = [];

  /**
   * @param opts - who writes, and the witnesses
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * @returns whether the outcome of a write is open
   */
  get pending(): boolean {
    return this.#open.length > 0;
  }

  /**
   * @param next - `required` revision, and the new row's epoch and beat
   * @returns the attempt, whose row is to be written
   */
  prepare(next: { required: number; epoch: number; beat: number }): Attempt {
    const { self, contact, clock } = this.#opts;
    const witnesses = contact.witnesses();
    const set = contact.expectWitnesses("lease", witnesses);
    this.#sets.push(set);
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
      required: next.required,
      set,
    };
    this.#open.push(attempt);
    return attempt;
  }

  /**
   * @param row - the present row
   * @returns the open attempt that wrote it
   */
  find(row: CoordinatorRow | undefined): Attempt | undefined {
    return this.#open.find((attempt) => attempt.row.writeId === row?.writeId);
  }

  /** @param attempt - it took effect, so every other one has failed */
  onWon(attempt: Attempt): void {
    // Every other attempt required a revision that has passed.
    for (const other of this.#open) {
      if (other !== attempt) other.set.withdraw();
    }
    this.#open = [];
    this.#sets = [attempt.set];
    attempt.set.confirm();
    this.#opts.contact.claimEpoch(0);
  }

  /** @param attempt - it has certainly failed */
  withdraw(attempt: Attempt): void {
    attempt.set.withdraw();
    this.#sets = this.#sets.filter((set) => set !== attempt.set);
    this.#open = this.#open.filter((other) => other !== attempt);
    if (this.#open.length === 0) this.#opts.contact.claimEpoch(0);
  }

  /** @param revision - present revision; attempts that require another fail */
  withdrawOutdated(revision: number): void {
    // Only a changed row rules out that an attempt still takes effect.
    for (const attempt of this.#open) {
      if (attempt.required !== revision) this.withdraw(attempt);
    }
  }

  /** The lease has ended; nothing is open. */
  clear(): void {
    for (const set of this.#sets) set.withdraw();
    this.#sets = [];
    this.#open = [];
    this.#opts.contact.claimEpoch(0);
  }
}
