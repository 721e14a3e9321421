import { randomUUID } from "node:crypto";
import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { CatalogueView } from "../catalogue/catalogue_view.ts";
import type { TableService } from "../contracts/table_service.ts";
import { regionParts } from "../limits/region_parts.ts";
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
  /** Longest time that a renewal waits for news. */
  renewHoldMs: number;
  dispatchTtlMs: number;
};

// Steps that depend on time alone, such as warm-up, are looked at this often.
const MAX_PAUSE_MS = 100;
// Many reports arrive together; one plan covers all of them.
const MIN_PAUSE_MS = 5;
const RETRY_MS = 100;

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
  /** Wakes renewals that wait for news. */
  readonly #news = new ChangeNotifier();
  /** Wakes the planning task. */
  readonly #reports = new ChangeNotifier();
  #reportCount = 0;
  readonly #writes = new Set<Promise<void>>();
  /** Digest of the last report by VM. */
  readonly #digests = new Map<string, string>();
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
    let last: CoordinatorTerm | undefined;
    while (!signal.aborted) {
      const held = lease.held();
      if (held === undefined) {
        await waitForAny([lease.changed], this.#deps.clock, {
          ms: MAX_PAUSE_MS,
          signal,
        });
        continue;
      }
      // A lease that returns with the same epoch has had no other holder, so
      // the term goes on. Rows could not be read again during an outage.
      const term = last?.epoch === held.epoch
        ? last
        : await this.#startTerm(held, signal);
      if (term === undefined) continue;
      last = term;
      this.#term = term;
      this.#news.notify();
      await this.#runTerm(term, signal);
      this.#term = undefined;
      this.#news.notify();
    }
    await Promise.all(this.#writes);
  }

  async #startTerm(
    held: { epoch: number; since: number },
    signal: AbortSignal,
  ): Promise<CoordinatorTerm | undefined> {
    const { clock, catalogue, region, dispatchTtlMs, logger } = this.#deps;
    while (!signal.aborted && this.#holds(held.epoch)) {
      // Writes of former holders cannot take effect once the lease is taken,
      // so rows read from now on are complete.
      const read = await this.#writer.readRows(signal);
      const document = catalogue.current?.document;
      if (read.isOk() && document !== undefined && this.#holds(held.epoch)) {
        logger.info({ epoch: held.epoch }, "coordinator term begins");
        return new CoordinatorTerm({
          region,
          lease: held,
          dispatchTtlMs,
          rows: read.value,
          catalogue: document,
        });
      }
      if (read.isErr()) {
        logger.warn({ err: read.error }, "assignment rows cannot be read");
      }
      await clock.sleep(RETRY_MS, signal);
    }
    return undefined;
  }

  async #runTerm(term: CoordinatorTerm, signal: AbortSignal): Promise<void> {
    const { clock, catalogue, lease, listedVms, contact, logger } = this.#deps;
    while (!signal.aborted && this.#holds(term.epoch)) {
      const planned = this.#reportCount;
      for (const write of this.#plan(term)) {
        const task: Promise<void> = this.#writer
          .write(write, term, {
            signal,
            holds: () => this.#holds(term.epoch),
          })
          .finally(() => {
            this.#writes.delete(task);
            this.#news.notify();
            this.#wakePlan();
          });
        this.#writes.add(task);
      }
      this.#news.notify();
      await clock.sleep(MIN_PAUSE_MS, signal);
      // A report that came meanwhile has woken nobody.
      if (this.#reportCount !== planned) continue;
      const pause = term.nextDeadline(clock.now()) - clock.now();
      await waitForAny(
        [
          this.#reports,
          lease.changed,
          catalogue.changed,
          listedVms.changed,
          contact.changed,
        ],
        clock,
        { ms: Math.min(MAX_PAUSE_MS, pause), signal },
      );
    }
    logger.info({ epoch: term.epoch }, "coordinator term ends");
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
      await this.#wait([this.#news, lease.changed], until, signal);
    }
    const term = this.#term;
    if (signal.aborted || term === undefined || !this.#mayAnswer()) {
      return refusal;
    }
    const session = term.accept(report, clock.now());
    this.#noteReport(report);
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
    // False as well once the router has sent a newer report.
    const wanted = () =>
      !call.signal.aborted && session.report.seq === call.seq &&
      this.#term === term && this.#mayAnswer();
    while (wanted() && clock.now() < call.until && term.isUpToDate(session)) {
      await this.#wait([this.#news, lease.changed], call.until, call.signal);
    }
    // Checked in the same step as the answer is made: a former holder that
    // wakes up late must not renew a lease.
    if (!wanted()) return undefined;
    const document = this.#deps.catalogue.current?.document;
    const parts = document === undefined
      ? new Map<string, Share>()
      : regionParts(document, this.#deps.region);
    return term.answer(session, parts, clock.now());
  }

  async #wait(
    notifiers: readonly ChangeNotifier[],
    until: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock } = this.#deps;
    const ms = Math.max(0, until - clock.now());
    await waitForAny(notifiers, clock, { ms, signal });
  }

  /** Wakes the planning task if the report says something new. */
  #noteReport(report: RenewParams): void {
    const digest = reportDigest(report);
    if (this.#digests.get(report.vm) === digest) return;
    this.#digests.set(report.vm, digest);
    this.#wakePlan();
  }

  #wakePlan(): void {
    this.#reportCount += 1;
    this.#reports.notify();
  }

  #mayAnswer(): boolean {
    return this.#term !== undefined && this.#holds(this.#term.epoch) &&
      this.#deps.contact.mode() !== "cut_off";
  }

  #holds(epoch: number): boolean {
    return this.#deps.lease.held()?.epoch === epoch;
  }
}
