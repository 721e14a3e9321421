import type { MemberLeaving } from "./member_leaving.ts";
import type { MemberView } from "./member_view.ts";
import type { StorePoller } from "./store_poller.ts";
import type { VmListPoller } from "./vm_list_poller.ts";
import type { WitnessAnswer } from "./witness_answer.ts";

/** Witnesses that a row of this router names or may name in the store. */
type WitnessSet = {
  source: "member" | "lease";
  /** Incarnation by VM id. */
  witnesses: Readonly<Record<string, string>>;
  /** When the write of another set of the same source took effect. */
  retiredAt?: number;
};

/** What the answers of one witness have shown so far. */
type WitnessReport = {
  askedAt: number;
  /** When the last promise ends, on this router's clock. */
  promisedUntil: number | undefined;
  version: number;
  epoch: number;
};

/**
 * Highest catalogue version and coordinator epoch that the witnesses have
 * reported. Exists only while each of them is bound by a promise not to act on
 * the table service, or no longer counts.
 */
type WitnessAgreement = { version: number; epoch: number };

type Options = {
  members: Pick<MemberView, "get">;
  poller: Pick<StorePoller, "lastSentAt">;
  vmList: Pick<VmListPoller, "absentSince">;
};

/**
 * Tracks the witnesses that this router's rows name, and their promises.
 */
export class WitnessRecord {
  readonly #opts: Options;
  #witnessSets: WitnessSet[] = [];
  readonly #reports = new Map<string, WitnessReport>();
  /** Last announcement of each leaving router, by VM id. */
  readonly #notices = new Map<string, MemberLeaving>();

  /**
   * @param opts - sources that show whether a witness process has ended
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * @param vm - a VM
   * @param incarnation - a router process on it
   * @returns whether the process has announced that it is leaving
   */
  hasAnnouncedLeaving(vm: string, incarnation: string): boolean {
    return this.#notices.get(vm)?.incarnation === incarnation;
  }

  /** @param notice - announcement of a router that is leaving */
  recordLeaving(notice: MemberLeaving): void {
    // Routers without a member row are not asked, so their notices are unused.
    for (const vm of this.#notices.keys()) {
      if (this.#opts.members.get(vm) === undefined) this.#notices.delete(vm);
    }
    this.#notices.set(notice.vm, notice);
  }

  /**
   * Adds witnesses that a row may name from this call on.
   *
   * @param source - the row that names them
   * @param witnesses - incarnation by VM id
   * @returns `confirm`, to be called with the time in monotonic milliseconds
   * once the write has taken effect, and `withdraw`, to be called when it
   * certainly has not
   */
  addWitnessSet(
    source: WitnessSet["source"],
    witnesses: WitnessSet["witnesses"],
  ): { confirm(now: number): void; withdraw(): void } {
    this.#discardRetiredSets();
    const set: WitnessSet = { source, witnesses };
    this.#witnessSets.push(set);
    return {
      confirm: (now) => {
        for (const other of this.#witnessSets) {
          if (other !== set && other.source === source) other.retiredAt ??= now;
        }
      },
      withdraw: () => {
        this.#witnessSets = this.#witnessSets.filter((other) => other !== set);
      },
    };
  }

  /**
   * @returns incarnations of the witnesses that rows may name, by VM id,
   * without processes that are known to have ended
   */
  namedIncarnations(): Map<string, Set<string>> {
    this.#discardRetiredSets();
    const named = new Map<string, Set<string>>();
    for (const { witnesses } of this.#witnessSets) {
      for (const [vm, incarnation] of Object.entries(witnesses)) {
        // A process ends before its row is removed or replaced, and the poll
        // that read the change has also read everything that the process wrote.
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
   * @returns false if an answer to a later call was recorded before
   */
  recordAnswer(vm: string, askedAt: number, answer: WitnessAnswer): boolean {
    const known = this.#reports.get(vm);
    if (known !== undefined && known.askedAt > askedAt) return false;
    this.#reports.set(vm, {
      askedAt,
      // The witness counts its promise from its answer, which is later than
      // `askedAt`. A refusal does not end an earlier promise.
      promisedUntil: answer.kind === "unreachable"
        ? askedAt + answer.promiseMs
        : known?.promisedUntil,
      version: Math.max(known?.version ?? 0, answer.catalogueVersion),
      epoch: answer.coordinatorEpoch,
    });
    return true;
  }

  /**
   * @returns when each witness's last promise ends, in monotonic milliseconds;
   * 0 for a witness that has promised nothing
   */
  promiseEndTimes(): number[] {
    return [...this.#reports.values()].map((report) =>
      report.promisedUntil ?? 0
    );
  }

  /**
   * Discards the answers of witnesses without a promise in force. To be called
   * while this router reaches the table service: its own polls have then read
   * what these answers reported.
   *
   * @param now - monotonic milliseconds
   */
  discardExpiredReports(now: number): void {
    for (const [vm, report] of this.#reports) {
      if ((report.promisedUntil ?? 0) <= now) this.#reports.delete(vm);
    }
  }

  /**
   * @param now - monotonic milliseconds
   * @returns undefined unless at least one witness has a promise in force and
   * every other witness has one too, has announced that it is leaving, or has
   * provably stopped
   */
  agreement(now: number): WitnessAgreement | undefined {
    // A router that reads a row without witnesses concludes that there is no
    // outage.
    const hasEmptySet = this.#witnessSets.some(({ witnesses }) =>
      Object.keys(witnesses).length === 0
    );
    if (hasEmptySet) return undefined;
    let boundCount = 0;
    let version = 0;
    let epoch = 0;
    for (const [vm, incarnations] of this.namedIncarnations()) {
      const notice = this.#notices.get(vm);
      if (
        notice !== undefined &&
        [...incarnations].every((incarnation) =>
          incarnation === notice.incarnation
        )
      ) {
        version = Math.max(version, notice.catalogueVersion);
        epoch = Math.max(epoch, notice.coordinatorEpoch);
        continue;
      }
      const report = this.#reports.get(vm);
      version = Math.max(version, report?.version ?? 0);
      epoch = Math.max(epoch, report?.epoch ?? 0);
      if (report?.promisedUntil !== undefined && report.promisedUntil > now) {
        boundCount += 1;
      } else if (!this.#hasProvablyStopped(vm, report)) return undefined;
    }
    return boundCount > 0 ? { version, epoch } : undefined;
  }

  /**
   * A VM that is absent from the VM list may have acted on the table service
   * between the end of its last promise and its loss. It is ignored only if the
   * list showed its absence while the promise held, or if the table service was
   * read after its absence.
   */
  #hasProvablyStopped(vm: string, report: WitnessReport | undefined): boolean {
    const absentSince = this.#opts.vmList.absentSince(vm);
    if (absentSince === undefined) return false;
    return (this.#opts.poller.lastSentAt ?? -1) >= absentSince ||
      (report?.promisedUntil ?? -1) >= absentSince;
  }

  #discardRetiredSets(): void {
    const lastSentAt = this.#opts.poller.lastSentAt ?? -1;
    // A router that read a row before it was replaced may still act on it, so
    // the row's witnesses count until a later poll has read what was written up
    // to then.
    this.#witnessSets = this.#witnessSets.filter((set) =>
      set.retiredAt === undefined || set.retiredAt >= lastSentAt
    );
  }
}
