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

const LEAVING_TIMEOUT_MS = 1000;
// Witnesses notice an outage up to one poll interval later than the router that
// asks them. In that time it asks more often, so that all have promised before
// its contact time or its coordinator lease ends.
const EARLY_ASK_MS = 100;

const AskParams = z.looseObject({ vm: z.string(), incarnation: z.string() });
const VersionParams = z.looseObject({ version: z.int().nonnegative() });
/**
 * Decides from store polls and witnesses whether this router may go on, and
 * answers other routers that ask it as their witness.
 *
 * A VM runs one router process at a time, so an answer of a process shows that
 * every earlier process of its VM has ended.
 */
export class StoreContact implements StoreContactView {
  readonly changed = new ChangeNotifier();
  /** Notifies when another router said that it leaves. */
  readonly farewell = new ChangeNotifier();

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

  /** Notifies when an answer, a farewell or a witness set arrived. */
  readonly #input = new ChangeNotifier();
  readonly #record: WitnessRecord;
  readonly #promises: WitnessPromises;
  readonly #rows: WitnessRows;
  #claimedEpoch = 0;
  #registeredAt: number | undefined;
  /** Version that was confirmable when this router began to leave. */
  #leftAtVersion: number | undefined;

  /**
   * @param options - `self` as in the member row, `timing` in milliseconds from
   * the settings, `views` that `poller` feeds, `peers` to call witnesses, and
   * `vmList` to recognise lost VMs
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
    this.#record = new WitnessRecord({
      members: views.members,
      poller,
      vmList,
    });
    this.#promises = new WitnessPromises(clock);
    this.#rows = new WitnessRows({ ...options, ...views });
  }

  mode(): StoreMode {
    const sentAt = this.#poller.lastSentAt;
    if (sentAt === undefined) return "starting";
    if (this.#clock.now() - sentAt < this.#timing.storeContactMs) {
      return "current";
    }
    const coverage = this.#coverage();
    // A witness may have confirmed the version that it reports, so a router
    // that still has an older one must not serve.
    return coverage !== undefined &&
        coverage.version <= this.#views.catalogue.version
      ? "outage"
      : "cut_off";
  }

  /**
   * @param epoch - epoch of a coordinator lease that this router holds
   * @returns whether promises in force rule out that another router has taken
   * the lease over, or does so now
   */
  covers(epoch: number): boolean {
    const coverage = this.#coverage();
    return coverage !== undefined && coverage.epoch <= epoch &&
      this.coordinatorEpoch() <= epoch;
  }

  /**
   * @returns false while this router has promised another one not to take a
   * coordinator lease or confirm a catalogue version, and once it is leaving
   */
  mayActOnStore(): boolean {
    return this.#leftAtVersion === undefined &&
      !this.#promises.bound;
  }

  /**
   * @returns the newest catalogue version that this router may confirm; a
   * version adopted under a promise waits for the end of the promise
   */
  confirmableVersion(): number {
    return Math.min(
      this.#views.catalogue.version,
      this.#leftAtVersion ?? Number.POSITIVE_INFINITY,
      this.#promises.lowestVersion,
    );
  }

  /**
   * @returns the highest coordinator epoch of the own region that this router
   * has read, holds, or may have written without an answer
   */
  coordinatorEpoch(): number {
    const known = this.#views.coordinators.get(this.#self.region);
    return Math.max(known?.row.epoch ?? 0, this.#claimedEpoch);
  }

  /**
   * @param epoch - epoch of a takeover whose outcome is open, 0 when settled
   */
  claimEpoch(epoch: number): void {
    this.#claimedEpoch = epoch;
  }

  /**
   * Answers of this router as a witness count from the first poll after its
   * registration on: that poll has read whatever an earlier process of the VM
   * wrote, and later writes of such a process fail on the member row.
   */
  markRegistered(): void {
    this.#registeredAt ??= this.#clock.now();
  }

  /**
   * @returns incarnation of each witness to name in rows, by VM id
   */
  witnesses(): Record<string, string> {
    return chooseWitnesses(
      this.#self,
      this.#views.members.all().filter((row) =>
        !this.#record.hasLeft(row.vm, row.incarnation) &&
        this.#vmList.absentSince(row.vm) === undefined
      ),
    );
  }

  /**
   * Adds witnesses that a row may name from now on. They are asked until the
   * write turns out to have failed or a later one has replaced it.
   *
   * @param source - the row that names them
   * @param witnesses - incarnation by VM id
   * @returns `confirm`, to be called when the write took effect, and
   * `withdraw`, when it certainly did not
   */
  expectWitnesses(
    source: "member" | "lease",
    witnesses: Readonly<Record<string, string>>,
  ): { confirm(): void; withdraw(): void } {
    const set = this.#record.expect(source, witnesses);
    return {
      confirm: () => {
        set.confirm(this.#clock.now());
        this.#input.notify();
      },
      withdraw: () => {
        set.withdraw();
        this.#input.notify();
      },
    };
  }

  /**
   * Stops acting on the store for good and tells every member, so that this
   * router is no longer needed as a witness. The coordinator lease must have
   * been released before, and the member row is to be removed afterwards.
   *
   * @param signal - ends the wait for answers
   */
  async leave(signal: AbortSignal): Promise<void> {
    this.#leftAtVersion ??= this.confirmableVersion();
    // A process that has not read the store since it registered cannot speak
    // for what an earlier process of the VM did.
    if (!this.#hasReadSinceRegistration()) return;
    const params: MemberLeaving = {
      vm: this.#self.vm,
      incarnation: this.#self.incarnation,
      catalogueVersion: this.#leftAtVersion,
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
            timeoutMs: LEAVING_TIMEOUT_MS,
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
      this.#rows.handler,
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
          this.#record.onLeaving(MemberLeaving.parse(params));
          this.farewell.notify();
          this.#input.notify();
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
   * Asks witnesses while there is no contact, and notifies of mode changes.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#askWitnesses(signal), this.#watchMode(signal)]);
    await this.#rows.ended();
  }

  async #askWitnesses(signal: AbortSignal): Promise<void> {
    const rounds = new Set<Promise<void>>();
    while (!signal.aborted) {
      const mode = this.mode();
      const notifiers = [this.#poller.polled];
      let ms = this.#timing.witnessAskMs;
      if (this.#reachesStore()) {
        ms = this.#poller.overdueAt - this.#clock.now();
        notifiers.push(this.#poller.failed);
        this.#record.forgetAnswers(this.#clock.now());
      } else if (mode !== "starting") {
        if (mode === "current" && this.#coverage() === undefined) {
          ms = EARLY_ASK_MS;
        }
        // Not awaited, so that a silent witness does not delay the next round.
        const round = this.#askAll(signal).finally(() => rounds.delete(round));
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
    let last = this.mode();
    while (!signal.aborted) {
      await waitForChange({
        clock: this.#clock,
        ms: this.#nextBoundary() - this.#clock.now(),
        notifiers: [
          this.#poller.polled,
          this.#input,
          this.#views.catalogue.changed,
        ],
      }, signal);
      const mode = this.mode();
      if (mode === last) continue;
      this.#logger.info({ from: last, to: mode }, "store contact changed");
      last = mode;
      this.changed.notify();
    }
  }

  /** When the mode may change by the passing of time alone. */
  #nextBoundary(): number {
    const now = this.#clock.now();
    const ends = [
      (this.#poller.lastSentAt ?? now) + this.#timing.storeContactMs,
      ...this.#record.promiseEnds(),
    ].filter((end) => end > now);
    return Math.min(now + this.#timing.storeContactMs, ...ends);
  }

  async #askAll(signal: AbortSignal): Promise<void> {
    await Promise.all(
      [...this.#record.named().keys()].map((vm) => this.#ask(vm, signal)),
    );
  }

  async #ask(vm: string, signal: AbortSignal): Promise<void> {
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
      // A late answer is worth the rest of its promise.
      timeoutMs: this.#timing.witnessPromiseMs,
    }, signal);
    if (result.isErr()) return;
    const answer = result.value;
    if (!this.#record.onAnswer(vm, askedAt, answer)) return;
    if (answer.kind === "unreachable") {
      this.#rows.fetchNewer(row, answer, signal);
    }
    this.#input.notify();
  }

  #coverage(): ReturnType<WitnessRecord["coverage"]> {
    return this.#record.coverage(this.#clock.now());
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
    this.#promises.give(
      this.#timing.witnessPromiseMs,
      known.catalogueVersion,
    );
    return {
      kind: "unreachable",
      promiseMs: this.#timing.witnessPromiseMs,
      ...known,
      revisions: this.#rows.revisions(),
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
