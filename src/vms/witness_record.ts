import type { MemberLeaving } from "./member_leaving.ts";
import type { MemberView } from "./member_view.ts";
import type { StorePoller } from "./store_poller.ts";
import type { VmListPoller } from "./vm_list_poller.ts";
import type { WitnessAnswer } from "./witness_answer.ts";

/** Witnesses that a row in the store names, or may name. */
type WitnessSet = {
  source: "member" | "lease";
  /** Incarnation by VM id. */
  witnesses: Readonly<Record<string, string>>;
  /** When a newer set of the same source was confirmed. */
  retiredAt?: number;
};

/** What one witness said. */
type Heard = {
  askedAt: number;
  /** End of the last promise on this router's clock. */
  promisedUntil: number | undefined;
  version: number;
  epoch: number;
};

/** Highest catalogue version and coordinator epoch among all witnesses. */
type Coverage = { version: number; epoch: number };

type Options = {
  members: Pick<MemberView, "get">;
  poller: Pick<StorePoller, "lastSentAt">;
  vmList: Pick<VmListPoller, "absentSince">;
};

/**
 * The witnesses that this router's rows name, and what they have promised.
 */
export class WitnessRecord {
  readonly #opts: Options;
  #sets: WitnessSet[] = [];
  readonly #heard = new Map<string, Heard>();
  readonly #farewells = new Map<string, MemberLeaving>();

  /**
   * @param opts - what shows that a witness process has ended
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * @param vm - a VM
   * @param incarnation - a router process on it
   * @returns whether the process has said that it leaves
   */
  hasLeft(vm: string, incarnation: string): boolean {
    return this.#farewells.get(vm)?.incarnation === incarnation;
  }

  /** @param farewell - what a router said that leaves */
  onLeaving(farewell: MemberLeaving): void {
    // Routers without a member row are not asked anyway.
    for (const vm of this.#farewells.keys()) {
      if (this.#opts.members.get(vm) === undefined) this.#farewells.delete(vm);
    }
    this.#farewells.set(farewell.vm, farewell);
  }

  /**
   * Adds witnesses that a row may name from now on.
   *
   * @param source - the row that names them
   * @param witnesses - incarnation by VM id
   * @returns `confirm`, to be called at a time in monotonic milliseconds when
   * the write took effect, and `withdraw`, when it certainly did not
   */
  expect(
    source: WitnessSet["source"],
    witnesses: WitnessSet["witnesses"],
  ): { confirm(now: number): void; withdraw(): void } {
    this.#forgetRetired();
    const set: WitnessSet = { source, witnesses };
    this.#sets.push(set);
    return {
      confirm: (now) => {
        for (const other of this.#sets) {
          if (other !== set && other.source === source) other.retiredAt ??= now;
        }
      },
      withdraw: () => {
        this.#sets = this.#sets.filter((other) => other !== set);
      },
    };
  }

  /**
   * @returns incarnations that rows may name, by VM id, without processes known
   * to have ended
   */
  named(): Map<string, Set<string>> {
    this.#forgetRetired();
    const named = new Map<string, Set<string>>();
    for (const { witnesses } of this.#sets) {
      for (const [vm, incarnation] of Object.entries(witnesses)) {
        // A process ends before its row is removed or replaced, and the poll
        // that showed this has read everything that it wrote.
        if (this.#opts.members.get(vm)?.incarnation !== incarnation) continue;
        const incarnations = named.get(vm) ?? new Set();
        named.set(vm, incarnations.add(incarnation));
      }
    }
    return named;
  }

  /**
   * @param vm - the witness that answered
   * @param askedAt - when it was asked, in monotonic milliseconds
   * @param answer - its answer
   * @returns false if the answer to a later question is known already
   */
  onAnswer(vm: string, askedAt: number, answer: WitnessAnswer): boolean {
    const known = this.#heard.get(vm);
    if (known !== undefined && known.askedAt > askedAt) return false;
    this.#heard.set(vm, {
      askedAt,
      // The witness counts from its answer, which is later. A refusal does not
      // end an earlier promise.
      promisedUntil: answer.kind === "unreachable"
        ? askedAt + answer.promiseMs
        : known?.promisedUntil,
      version: Math.max(known?.version ?? 0, answer.catalogueVersion),
      epoch: answer.coordinatorEpoch,
    });
    return true;
  }

  /**
   * @returns ends of the witnesses' promises, in monotonic milliseconds
   */
  promiseEnds(): number[] {
    return [...this.#heard.values()].map((heard) => heard.promisedUntil ?? 0);
  }

  /**
   * With contact, own polls have read what past answers told.
   *
   * @param now - monotonic milliseconds
   */
  forgetAnswers(now: number): void {
    for (const [vm, heard] of this.#heard) {
      if ((heard.promisedUntil ?? 0) <= now) this.#heard.delete(vm);
    }
  }

  /**
   * @param now - monotonic milliseconds
   * @returns undefined unless every witness is bound by a promise or excluded
   */
  coverage(now: number): Coverage | undefined {
    // Whoever reads a row without witnesses concludes that there is no outage.
    const isWithout = this.#sets.some(({ witnesses }) =>
      Object.keys(witnesses).length === 0
    );
    if (isWithout) return undefined;
    let bound = 0;
    let version = 0;
    let epoch = 0;
    for (const [vm, incarnations] of this.named()) {
      const farewell = this.#farewells.get(vm);
      if (
        farewell !== undefined &&
        [...incarnations].every((one) => one === farewell.incarnation)
      ) {
        version = Math.max(version, farewell.catalogueVersion);
        epoch = Math.max(epoch, farewell.coordinatorEpoch);
        continue;
      }
      const heard = this.#heard.get(vm);
      version = Math.max(version, heard?.version ?? 0);
      epoch = Math.max(epoch, heard?.epoch ?? 0);
      if (heard?.promisedUntil !== undefined && heard.promisedUntil > now) {
        bound += 1;
      } else if (!this.#hasProvablyStopped(vm, heard)) return undefined;
    }
    return bound > 0 ? { version, epoch } : undefined;
  }

  /**
   * A VM that is gone may have acted on the store between the end of its last
   * promise and its loss. It is left out only when the list showed its loss
   * while the promise held, or when the store was read after its loss.
   */
  #hasProvablyStopped(vm: string, heard: Heard | undefined): boolean {
    const absentSince = this.#opts.vmList.absentSince(vm);
    if (absentSince === undefined) return false;
    return (this.#opts.poller.lastSentAt ?? -1) >= absentSince ||
      (heard?.promisedUntil ?? -1) >= absentSince;
  }

  #forgetRetired(): void {
    const lastSentAt = this.#opts.poller.lastSentAt ?? -1;
    // Whoever read a row before it was replaced may still go by it, so its
    // witnesses count until a later poll has shown what was written by then.
    this.#sets = this.#sets.filter((set) =>
      set.retiredAt === undefined || set.retiredAt >= lastSentAt
    );
  }
}
