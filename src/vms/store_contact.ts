import { z } from "zod";
import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { CatalogueView } from "../catalogue/catalogue_view.ts";
import type { RpcHandler } from "../links/rpc_handler.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";
import type { CatalogueStatus } from "./catalogue_status.ts";
import { chooseWitnesses } from "./choose_witnesses.ts";
import type { CoordinatorView } from "./coordinator_view.ts";
import { MemberLeaving } from "./member_leaving.ts";
import type { MemberRow } from "./member_row.ts";
import type { MemberView } from "./member_view.ts";
import type { PeerClient } from "./peer_client.ts";
import type { StoreContactView } from "./store_contact_view.ts";
import type { StoreMode } from "./store_mode.ts";
import type { StorePoller } from "./store_poller.ts";
import type { VmListPoller } from "./vm_list_poller.ts";
import { waitForChange } from "./wait_for_change.ts";
import { WitnessAnswer } from "./witness_answer.ts";
import { WitnessPromises } from "./witness_promises.ts";
import { WitnessRecord } from "./witness_record.ts";
import { WitnessRows } from "./witness_rows.ts";

const LEAVING_CALL_TIMEOUT_MS = 1000;
// Witnesses notice an outage up to one poll interval later than the router that
// asks them. That router repeats its calls at this interval until then, so that
// all witnesses have promised before its contact time or its coordinator lease
// expires.
const EARLY_WITNESS_ASK_INTERVAL_MS = 100;

const AskParams = z.looseObject({ vm: z.string(), incarnation: z.string() });
const VersionParams = z.looseObject({ version: z.int().nonnegative() });
/**
 * Decides from polls of the table service (the store) and from the answers of
 * witnesses whether this router may keep serving, and answers other routers
 * that ask it as their witness.
 *
 * A VM runs one router process at a time, so an answer from a process shows
 * that every earlier process of its VM has ended.
 */
export class StoreContact implements StoreContactView {
  readonly changed = new ChangeNotifier();
  /** Notifies when another router has announced that it is leaving. */
  readonly leavingAnnounced = new ChangeNotifier();

  readonly #self: Pick<
    MemberRow,
    "vm" | "incarnation" | "region" | "failureDomain"
  >;
  readonly #timing: {
    storeContactMs: number;
    witnessAskMs: number;
    witnessPromiseMs: number;
  };
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #poller: StorePoller;
  readonly #views: {
    catalogue: CatalogueView;
    members: MemberView;
    coordinators: CoordinatorView;
    assignments: AssignmentView;
  };
  readonly #peers: PeerClient;
  readonly #vmList: Pick<VmListPoller, "absentSince">;

  /**
   * Notifies when a witness answered, a router announced that it is leaving, or
   * a witness set was confirmed or withdrawn.
   */
  readonly #witnessesChanged = new ChangeNotifier();
  readonly #witnessRecord: WitnessRecord;
  readonly #promises: WitnessPromises;
  readonly #witnessRows: WitnessRows;
  #pendingEpoch = 0;
  #registeredAt: number | undefined;
  /** Catalogue version that was confirmable when this router began to leave. */
  #versionAtLeave: number | undefined;

  /**
   * @param options - `self` as in the member row, `timing` in milliseconds from
   * the settings, `views` that `poller` updates, `peers` to call witnesses, and
   * `vmList` to detect lost VMs
   */
  constructor(
    options: {
      self: Pick<
        MemberRow,
        "vm" | "incarnation" | "region" | "failureDomain"
      >;
      timing: {
        storeContactMs: number;
        witnessAskMs: number;
        witnessPromiseMs: number;
      };
      clock: Clock;
      logger: Logger;
      poller: StorePoller;
      views: {
        catalogue: CatalogueView;
        members: MemberView;
        coordinators: CoordinatorView;
        assignments: AssignmentView;
      };
      peers: PeerClient;
      vmList: Pick<VmListPoller, "absentSince">;
    },
  ) {
    this.#self = options.self;
    this.#timing = options.timing;
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#poller = options.poller;
    this.#views = options.views;
    this.#peers = options.peers;
    this.#vmList = options.vmList;
    const { views, clock, poller, vmList } = options;
    this.#witnessRecord = new WitnessRecord({
      members: views.members,
      poller,
      vmList,
    });
    this.#promises = new WitnessPromises(clock);
    this.#witnessRows = new WitnessRows({ ...options, ...views });
  }

  mode(): StoreMode {
    const sentAt = this.#poller.lastSentAt;
    if (sentAt === undefined) return "starting";
    if (this.#clock.now() - sentAt < this.#timing.storeContactMs) {
      return "current";
    }
    const agreement = this.#witnessAgreement();
    // A witness may have confirmed the catalogue version that it reports, so a
    // router that still has an older version must not serve.
    return agreement !== undefined &&
        agreement.version <= this.#views.catalogue.version
      ? "outage"
      : "cut_off";
  }

  /**
   * @param epoch - epoch of a coordinator lease that this router holds
   * @returns whether promises in force rule out that another router has taken
   * over the lease or is taking it over
   */
  excludesTakeover(epoch: number): boolean {
    const agreement = this.#witnessAgreement();
    return agreement !== undefined && agreement.epoch <= epoch &&
      this.coordinatorEpoch() <= epoch;
  }

  /**
   * @returns false while this router has promised another router not to acquire
   * a coordinator lease or confirm a catalogue version, and once it is leaving
   */
  mayActOnStore(): boolean {
    return this.#versionAtLeave === undefined &&
      !this.#promises.hasPromiseInForce;
  }

  /**
   * @returns the newest catalogue version that this router may confirm; a
   * version adopted while a promise is in force is excluded until the promise
   * ends
   */
  confirmableVersion(): number {
    return Math.min(
      this.#views.catalogue.version,
      this.#versionAtLeave ?? Number.POSITIVE_INFINITY,
      this.#promises.lowestPromisedVersion,
    );
  }

  /**
   * @returns the highest coordinator epoch of this router's region that it has
   * read, holds, or may have written without receiving the outcome
   */
  coordinatorEpoch(): number {
    const known = this.#views.coordinators.get(this.#self.region);
    return Math.max(known?.row.epoch ?? 0, this.#pendingEpoch);
  }

  /**
   * @param epoch - epoch of a lease takeover whose outcome is unknown; 0 once
   * the outcome is known
   */
  setPendingEpoch(epoch: number): void {
    this.#pendingEpoch = epoch;
  }

  /**
   * Records that this router's member row is written. This router may give
   * promises as a witness once a poll has succeeded that was sent after that:
   * the poll has read everything that an earlier process of the VM wrote, and
   * later writes of such a process fail because the member row has changed.
   */
  markRegistered(): void {
    this.#registeredAt ??= this.#clock.now();
  }

  /**
   * @returns incarnation of each witness that rows should name, by VM id
   */
  witnesses(): Record<string, string> {
    return chooseWitnesses(
      this.#self,
      this.#views.members.all().filter((row) =>
        !this.#witnessRecord.hasAnnouncedLeaving(row.vm, row.incarnation) &&
        this.#vmList.absentSince(row.vm) === undefined
      ),
    );
  }

  /**
   * Adds witnesses that a row may name from this call on. They are asked until
   * the write is known to have failed or a later write has replaced it.
   *
   * @param source - the row that names them
   * @param witnesses - incarnation by VM id
   * @returns `confirm`, to be called once the write has taken effect, and
   * `withdraw`, to be called when it certainly has not
   */
  addWitnesses(
    source: "member" | "lease",
    witnesses: Readonly<Record<string, string>>,
  ): { confirm(): void; withdraw(): void } {
    const set = this.#witnessRecord.addWitnessSet(source, witnesses);
    return {
      confirm: () => {
        set.confirm(this.#clock.now());
        this.#witnessesChanged.notify();
      },
      withdraw: () => {
        set.withdraw();
        this.#witnessesChanged.notify();
      },
    };
  }

  /**
   * Permanently stops acting on the table service and notifies every member, so
   * that this router is no longer needed as a witness. To be called after the
   * coordinator lease was released and before the member row is removed.
   *
   * @param signal - aborts the wait for answers
   */
  async leave(signal: AbortSignal): Promise<void> {
    this.#versionAtLeave ??= this.confirmableVersion();
    // A process that has not read the table service since it registered does
    // not know what an earlier process of the VM wrote.
    if (!this.#hasReadSinceRegistration()) return;
    const params: MemberLeaving = {
      vm: this.#self.vm,
      incarnation: this.#self.incarnation,
      catalogueVersion: this.#versionAtLeave,
      coordinatorEpoch: this.coordinatorEpoch(),
    };
    await Promise.all(
      this.#views.members.all().filter((row) => row.vm !== this.#self.vm)
        .map((row) =>
          this.#peers.call({
            peerUrl: row.peerUrl,
            method: "member.leaving",
            params,
            result: z.looseObject({}),
            timeoutMs: LEAVING_CALL_TIMEOUT_MS,
          }, signal)
        ),
    );
  }

  /**
   * @returns handlers of the methods that other routers call
   */
  handlers(): RpcHandler[] {
    return [
      {
        method: "witness.ask",
        params: AskParams,
        handle: () => Promise.resolve(this.#answerAsWitness()),
      },
      this.#witnessRows.handler,
      {
        method: "catalogue.changed",
        params: VersionParams,
        handle: (params) => {
          this.#pollIfOlder(VersionParams.parse(params).version);
          return Promise.resolve({});
        },
      },
      {
        method: "catalogue.status",
        params: VersionParams,
        handle: (params) => {
          this.#pollIfOlder(VersionParams.parse(params).version);
          return Promise.resolve(this.status());
        },
      },
      {
        method: "member.leaving",
        params: MemberLeaving,
        handle: (params) => {
          this.#witnessRecord.recordLeaving(MemberLeaving.parse(params));
          this.leavingAnnounced.notify();
          this.#witnessesChanged.notify();
          return Promise.resolve({});
        },
      },
    ];
  }

  /**
   * @returns this router's answer to `catalogue.status`
   */
  status(): CatalogueStatus {
    return {
      vm: this.#self.vm,
      incarnation: this.#self.incarnation,
      version: this.confirmableVersion(),
      mode: this.mode(),
    };
  }

  /**
   * Asks witnesses while the table service cannot be reached, and notifies of
   * mode changes.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#askDuringOutage(signal), this.#watchMode(signal)]);
    await this.#witnessRows.readsEnded();
  }

  async #askDuringOutage(signal: AbortSignal): Promise<void> {
    const rounds = new Set<Promise<void>>();
    while (!signal.aborted) {
      const mode = this.mode();
      const notifiers = [this.#poller.polled];
      let ms = this.#timing.witnessAskMs;
      if (this.#reachesStore()) {
        ms = this.#poller.overdueAt - this.#clock.now();
        notifiers.push(this.#poller.failed);
        this.#witnessRecord.discardExpiredReports(this.#clock.now());
      } else if (mode !== "starting") {
        if (mode === "current" && this.#witnessAgreement() === undefined) {
          ms = EARLY_WITNESS_ASK_INTERVAL_MS;
        }
        // Not awaited, so that a witness that does not answer within its
        // timeout does not delay the next round.
        const round = this.#askEveryWitness(signal).finally(() =>
          rounds.delete(round)
        );
        rounds.add(round);
      }
      await waitForChange({
        clock: this.#clock,
        ms,
        notifiers,
      }, signal);
    }
    await Promise.all(rounds);
  }

  async #watchMode(signal: AbortSignal): Promise<void> {
    let lastMode = this.mode();
    while (!signal.aborted) {
      await waitForChange({
        clock: this.#clock,
        ms: this.#nextModeCheckAt() - this.#clock.now(),
        notifiers: [
          this.#poller.polled,
          this.#witnessesChanged,
          this.#views.catalogue.changed,
        ],
      }, signal);
      const mode = this.mode();
      if (mode === lastMode) continue;
      this.#logger.info({ from: lastMode, to: mode }, "store contact changed");
      lastMode = mode;
      this.changed.notify();
    }
  }

  /** Returns when the mode may next change by the passing of time alone. */
  #nextModeCheckAt(): number {
    const now = this.#clock.now();
    const candidates = [
      (this.#poller.lastSentAt ?? now) + this.#timing.storeContactMs,
      ...this.#witnessRecord.promiseEndTimes(),
    ].filter((end) => end > now);
    return Math.min(now + this.#timing.storeContactMs, ...candidates);
  }

  async #askEveryWitness(signal: AbortSignal): Promise<void> {
    await Promise.all(
      [...this.#witnessRecord.namedIncarnations().keys()].map((vm) =>
        this.#askWitness(vm, signal)
      ),
    );
  }

  async #askWitness(vm: string, signal: AbortSignal): Promise<void> {
    const row = this.#views.members.get(vm);
    if (row === undefined) return;
    const askedAt = this.#clock.now();
    const result = await this.#peers.call({
      peerUrl: row.peerUrl,
      method: "witness.ask",
      params: {
        vm: this.#self.vm,
        incarnation: this.#self.incarnation,
      },
      result: WitnessAnswer,
      // A late answer is still useful until its promise ends.
      timeoutMs: this.#timing.witnessPromiseMs,
    }, signal);
    if (result.isErr()) return;
    const answer = result.value;
    if (!this.#witnessRecord.recordAnswer(vm, askedAt, answer)) return;
    if (answer.kind === "unreachable") {
      this.#witnessRows.fetchNewer(row, answer, signal);
    }
    this.#witnessesChanged.notify();
  }

  #witnessAgreement(): ReturnType<WitnessRecord["agreement"]> {
    return this.#witnessRecord.agreement(this.#clock.now());
  }

  #reachesStore(): boolean {
    return this.mode() === "current" &&
      this.#clock.now() < this.#poller.overdueAt;
  }

  #answerAsWitness(): WitnessAnswer {
    const known = {
      incarnation: this.#self.incarnation,
      catalogueVersion: this.#views.catalogue.version,
      coordinatorEpoch: this.coordinatorEpoch(),
    };
    if (!this.#hasReadSinceRegistration() || this.#reachesStore()) {
      return { kind: "refused", ...known };
    }
    this.#promises.issue(
      this.#timing.witnessPromiseMs,
      known.catalogueVersion,
    );
    return {
      kind: "unreachable",
      promiseMs: this.#timing.witnessPromiseMs,
      ...known,
      revisions: this.#witnessRows.revisions(),
    };
  }

  #hasReadSinceRegistration(): boolean {
    return this.#registeredAt !== undefined &&
      (this.#poller.lastSentAt ?? -1) >= this.#registeredAt;
  }

  #pollIfOlder(version: number): void {
    if (version > this.#views.catalogue.version) this.#poller.pollNow();
  }
}
