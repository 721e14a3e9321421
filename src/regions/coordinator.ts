import { randomUUID } from "node:crypto";
import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { CatalogueView } from "../catalogue/catalogue_view.ts";
import type { TableService } from "../contracts/table_service.ts";
import { regionLimits } from "../limits/region_limits.ts";
import type { Share } from "../limits/share.ts";
import type { RpcHandler } from "../links/rpc_handler.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";
import type { ListedVmsView } from "../vms/listed_vms_view.ts";
import type { StoreContactView } from "../vms/store_contact_view.ts";
import { AssignmentWriter } from "./assignment_writer.ts";
import type { CoordinatorLeaseView } from "./coordinator_lease_view.ts";
import { CoordinatorTerm } from "./coordinator_term.ts";
import { RenewParams } from "./renew_params.ts";
import type { RenewResult } from "./renew_result.ts";
import { reportDigest } from "./report_digest.ts";
import type { RouterSession } from "./router_session.ts";
import { waitForAny } from "./wait_for_any.ts";

type Deps = {
  region: string;
  clock: Clock;
  logger: Logger;
  lease: CoordinatorLeaseView;
  contact: StoreContactView;
  table: TableService;
  catalogue: CatalogueView;
  listedVms: ListedVmsView;
  assignments: AssignmentView;
  /** Longest time that a renewal waits for a change of its answer. */
  renewHoldMs: number;
  dispatchTtlMs: number;
};

// Steps that depend on time alone, such as warm-up, are planned this often.
const MAX_PLAN_INTERVAL_MS = 100;
// Many reports arrive at about the same time; one plan covers all of them.
const MIN_PLAN_INTERVAL_MS = 5;
const ROW_READ_RETRY_DELAY_MS = 100;

/**
 * Assigns the shards, dispatchers and limit shares of a region while this
 * router holds the region's coordinator lease, and answers `dispatch.renew`.
 */
export class Coordinator {
  /** Handler of `dispatch.renew`. */
  readonly renewal: RpcHandler = {
    method: "dispatch.renew",
    params: RenewParams,
    handle: (params, signal) => this.#renew(params as RenewParams, signal),
  };

  readonly #deps: Deps;
  readonly #writer: AssignmentWriter;
  /** Wakes renewals that wait for a change of their answer. */
  readonly #answerChanged = new ChangeNotifier();
  /** Wakes the planning task. */
  readonly #planRequested = new ChangeNotifier();
  #planRequestCount = 0;
  readonly #writes = new Set<Promise<void>>();
  /** Digest of the last report, by VM id. */
  readonly #reportDigests = new Map<string, string>();
  #term: CoordinatorTerm | undefined;

  /**
   * @param deps - what the coordinator reads and calls; times in milliseconds
   */
  constructor(deps: Deps) {
    this.#deps = deps;
    this.#writer = new AssignmentWriter(deps);
  }

  /**
   * Runs until the signal aborts.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    const { lease } = this.#deps;
    let lastTerm: CoordinatorTerm | undefined;
    while (!signal.aborted) {
      const held = lease.held();
      if (held === undefined) {
        await waitForAny([lease.changed], this.#deps.clock, {
          ms: MAX_PLAN_INTERVAL_MS,
          signal,
        });
        continue;
      }
      // A lease that is held again with the same epoch has had no other holder,
      // so its term continues. A new term would have to read the rows, which
      // fails during a store outage.
      const term = lastTerm?.epoch === held.epoch
        ? lastTerm
        : await this.#startTerm(held, signal);
      if (term === undefined) continue;
      lastTerm = term;
      this.#term = term;
      this.#answerChanged.notify();
      await this.#runTerm(term, signal);
      this.#term = undefined;
      this.#answerChanged.notify();
    }
    await Promise.all(this.#writes);
  }

  async #startTerm(
    held: { epoch: number; acquiredAt: number },
    signal: AbortSignal,
  ): Promise<CoordinatorTerm | undefined> {
    const { clock, catalogue, region, dispatchTtlMs, logger } = this.#deps;
    while (!signal.aborted && this.#holdsEpoch(held.epoch)) {
      // Writes of former holders cannot take effect once this router holds the
      // lease, so rows read from now on are complete.
      const read = await this.#writer.readRows(signal);
      const document = catalogue.current?.document;
      if (
        read.isOk() && document !== undefined && this.#holdsEpoch(held.epoch)
      ) {
        logger.info({ epoch: held.epoch }, "coordinator term started");
        return new CoordinatorTerm({
          region,
          lease: held,
          dispatchTtlMs,
          rows: read.value,
          catalogue: document,
        });
      }
      if (read.isErr()) {
        logger.warn(
          { err: read.error },
          "cannot read assignment rows; retrying",
        );
      }
      await clock.sleep(ROW_READ_RETRY_DELAY_MS, signal);
    }
    return undefined;
  }

  async #runTerm(term: CoordinatorTerm, signal: AbortSignal): Promise<void> {
    const { clock, catalogue, lease, listedVms, contact, logger } = this.#deps;
    while (!signal.aborted && this.#holdsEpoch(term.epoch)) {
      const plannedRequestCount = this.#planRequestCount;
      for (const write of this.#plan(term)) {
        const task: Promise<void> = this.#writer
          .write(write, term, {
            signal,
            isLeaseHeld: () => this.#holdsEpoch(term.epoch),
          })
          .finally(() => {
            this.#writes.delete(task);
            this.#answerChanged.notify();
            this.#requestPlan();
          });
        this.#writes.add(task);
      }
      this.#answerChanged.notify();
      await clock.sleep(MIN_PLAN_INTERVAL_MS, signal);
      // A plan requested during the sleep had no waiter to wake.
      if (this.#planRequestCount !== plannedRequestCount) continue;
      const untilDeadlineMs = term.nextDeadline(clock.now()) - clock.now();
      await waitForAny(
        [
          this.#planRequested,
          lease.changed,
          catalogue.changed,
          listedVms.changed,
          contact.changed,
        ],
        clock,
        { ms: Math.min(MAX_PLAN_INTERVAL_MS, untilDeadlineMs), signal },
      );
    }
    logger.info({ epoch: term.epoch }, "coordinator term ended");
  }

  #plan(term: CoordinatorTerm): ReturnType<CoordinatorTerm["plan"]> {
    const { clock, catalogue, listedVms, contact, assignments } = this.#deps;
    const document = catalogue.current?.document;
    const vms = listedVms.vms;
    if (
      contact.mode() !== "current" || document === undefined ||
      vms.length === 0
    ) return [];
    return term.plan({
      now: clock.now(),
      catalogue: document,
      vms,
      otherRegionRows: assignments.all()
        .filter(({ row }) => row.region !== this.#deps.region),
      newWriteId: randomUUID,
    });
  }

  async #renew(
    report: RenewParams,
    signal: AbortSignal,
  ): Promise<RenewResult> {
    const { clock, lease, renewHoldMs } = this.#deps;
    const refusal: RenewResult = { kind: "not_coordinator" };
    const until = clock.now() + renewHoldMs;
    while (!signal.aborted && clock.now() < until && !this.#mayAnswer()) {
      if (lease.held() === undefined) return refusal;
      await this.#waitUntil(
        [this.#answerChanged, lease.changed],
        until,
        signal,
      );
    }
    const term = this.#term;
    if (signal.aborted || term === undefined || !this.#mayAnswer()) {
      return refusal;
    }
    const session = term.accept(report, clock.now());
    this.#requestPlanIfChanged(report);
    const { seq } = report;
    const granted = await this.#answer(term, session, { seq, until, signal });
    return granted ?? refusal;
  }

  async #answer(
    term: CoordinatorTerm,
    session: RouterSession,
    call: { seq: number; until: number; signal: AbortSignal },
  ): Promise<RenewResult | undefined> {
    const { clock, lease } = this.#deps;
    // Also false once the router has sent a newer report.
    const isStillWanted = () =>
      !call.signal.aborted && session.report.seq === call.seq &&
      this.#term === term && this.#mayAnswer();
    while (
      isStillWanted() && clock.now() < call.until && term.isUpToDate(session)
    ) {
      await this.#waitUntil(
        [this.#answerChanged, lease.changed],
        call.until,
        call.signal,
      );
    }
    // Checked synchronously with creating the answer: a former holder that was
    // paused must not renew a dispatch lease.
    if (!isStillWanted()) return undefined;
    const document = this.#deps.catalogue.current?.document;
    const limits = document === undefined
      ? new Map<string, Share>()
      : regionLimits(document, this.#deps.region);
    return term.answer(session, limits, clock.now());
  }

  async #waitUntil(
    notifiers: readonly ChangeNotifier[],
    until: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock } = this.#deps;
    const ms = Math.max(0, until - clock.now());
    await waitForAny(notifiers, clock, { ms, signal });
  }

  /** Requests a plan if the report changes what a plan depends on. */
  #requestPlanIfChanged(report: RenewParams): void {
    const digest = reportDigest(report);
    if (this.#reportDigests.get(report.vm) === digest) return;
    this.#reportDigests.set(report.vm, digest);
    this.#requestPlan();
  }

  #requestPlan(): void {
    this.#planRequestCount += 1;
    this.#planRequested.notify();
  }

  #mayAnswer(): boolean {
    return this.#term !== undefined && this.#holdsEpoch(this.#term.epoch) &&
      this.#deps.contact.mode() !== "cut_off";
  }

  #holdsEpoch(epoch: number): boolean {
    return this.#deps.lease.held()?.epoch === epoch;
  }
}
