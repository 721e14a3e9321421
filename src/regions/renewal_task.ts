import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { LimitHost } from "../limits/limit_host.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";
import type { DispatchHost } from "../upstreams/dispatch_host.ts";
import type { CoordinatorView } from "../vms/coordinator_view.ts";
import type { PeerClient } from "../vms/peer_client.ts";
import type { StoreContactView } from "../vms/store_contact_view.ts";
import type { CoordinatorRow } from "./coordinator_row.ts";
import type { RenewGrant } from "./renew_grant.ts";
import type { RenewParams } from "./renew_params.ts";
import { RenewResult } from "./renew_result.ts";
import { waitForAny } from "./wait_for_any.ts";

type Deps = {
  vm: string;
  incarnation: string;
  region: string;
  failureDomain: string;
  clock: Clock;
  logger: Logger;
  contact: StoreContactView;
  coordinators: Pick<CoordinatorView, "get" | "changed">;
  peers: PeerClient;
  dispatchers: DispatchHost;
  limits: LimitHost;
  assignments: AssignmentView;
  /** Longest time that the coordinator holds a renewal. */
  renewHoldMs: number;
};
type Attempt = { report: RenewParams; sentAt: number; version: number };

// Added to the hold time of a renewal. A coordinator that has not answered by
// then is asked again, so that two attempts fit into a lease of 2 s.
const ANSWER_TIMEOUT_MARGIN_MS = 400;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 400;
const RECHECK_INTERVAL_MS = 100;
// Changes of the report within this time are sent together.
const REPORT_BATCH_MS = 5;
// Lets an answer that is already on its way arrive before a changed report
// replaces the call.
const MIN_ANSWER_WAIT_MS = 25;

/** Renews the dispatch lease and the limit shares of this router. */
export class RenewalTask {
  readonly #deps: Deps;
  readonly #reportChanged = new ChangeNotifier();
  #reportVersion = 0;
  #seq = 0;
  #answeredSeq = 0;
  #coordinatorEpoch = 0;
  #answeredAt = -Infinity;
  #lease: { shares: RenewGrant["shares"]; endsAt: number } = {
    shares: [],
    endsAt: -Infinity,
  };

  /**
   * @param deps - identity of the router, and what the task reads and calls
   */
  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /**
   * Renews until the router has left or the signal aborts.
   *
   * @param stop - `leaving` requests the handover of all dispatch terms;
   * `signal` ends the task at once
   * @returns a promise that resolves after `signal`, or after `leaving` once
   * this router holds no dispatch term
   */
  async run(
    stop: { leaving: AbortSignal; signal: AbortSignal },
  ): Promise<void> {
    const ended = new AbortController();
    const signal = AbortSignal.any([stop.signal, ended.signal]);
    const watching = this.#watchReport(signal);
    const onLeaving = () => this.#markChanged();
    stop.leaving.addEventListener("abort", onLeaving, { once: true });
    try {
      await this.#renewUntilLeft(stop.leaving, signal);
    } finally {
      stop.leaving.removeEventListener("abort", onLeaving);
      ended.abort();
      await watching;
    }
  }

  async #renewUntilLeft(
    leaving: AbortSignal,
    signal: AbortSignal,
  ): Promise<void> {
    const { contact, coordinators, clock, region } = this.#deps;
    let backoffMs = MIN_BACKOFF_MS;
    while (!signal.aborted) {
      const coordinator = coordinators.get(region)?.row;
      if (contact.mode() === "cut_off" || coordinator === undefined) {
        await waitForAny([contact.changed, coordinators.changed], clock, {
          ms: RECHECK_INTERVAL_MS,
          signal,
        });
        continue;
      }
      const outcome = await this.#renew(coordinator, leaving.aborted, signal);
      if (outcome === "left") return;
      if (outcome !== "failed") {
        backoffMs = MIN_BACKOFF_MS;
        continue;
      }
      await waitForAny([coordinators.changed], clock, {
        ms: backoffMs,
        signal,
      });
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
  }

  async #renew(
    coordinator: CoordinatorRow,
    leaving: boolean,
    signal: AbortSignal,
  ): Promise<"granted" | "replaced" | "failed" | "left"> {
    const { clock, peers, logger, renewHoldMs } = this.#deps;
    this.#seq += 1;
    const attempt: Attempt = {
      version: this.#reportVersion,
      report: this.#buildReport(coordinator, leaving),
      sentAt: clock.now(),
    };
    const callEnd = new AbortController();
    const limited = AbortSignal.any([signal, callEnd.signal]);
    const outdatedWatch = this.#abortWhenOutdated(
      attempt,
      coordinator,
      callEnd,
    );
    const result = await peers.call({
      peerUrl: coordinator.peerUrl,
      method: "dispatch.renew",
      params: attempt.report,
      result: RenewResult,
      timeoutMs: renewHoldMs + ANSWER_TIMEOUT_MARGIN_MS,
    }, limited);
    const replaced = callEnd.signal.aborted;
    callEnd.abort();
    await outdatedWatch;
    if (result.isErr()) {
      if (replaced) return "replaced";
      logger.warn(
        { kind: result.error.kind },
        "dispatch lease renewal failed; retrying",
      );
      return "failed";
    }
    if (result.value.kind === "not_coordinator") return "failed";
    if (!this.#applyGrant(result.value, attempt)) return "failed";
    const handedOver = result.value.tenures.length === 0 &&
      attempt.report.tenures.length === 0;
    return leaving && handedOver ? "left" : "granted";
  }

  #buildReport(coordinator: CoordinatorRow, leaving: boolean): RenewParams {
    const { vm, incarnation, region, failureDomain, clock } = this.#deps;
    const { dispatchers, limits, assignments } = this.#deps;
    const held = assignments.all().filter(({ row }) => row.region === region);
    const reported = limits.collect();
    // A new coordinator grants no more than what routers report as held, so
    // shares of entries without recent requests are reported as well.
    const unreported = coordinator.epoch === this.#coordinatorEpoch ||
        clock.now() >= this.#lease.endsAt
      ? []
      : this.#lease.shares.filter((share) =>
        !reported.some((item) => item.entry === share.entry)
      );
    return {
      vm,
      incarnation,
      failureDomain,
      seq: this.#seq,
      answeredSeq: this.#answeredSeq,
      coordinatorEpoch: this.#coordinatorEpoch,
      rows: Object.fromEntries(
        held.map(({ revision, row }) => [row.service, revision]),
      ),
      leaving,
      ...dispatchers.collectReport(),
      limits: [
        ...reported,
        ...unreported.map(({ entry, ratePerS, concurrency }) => ({
          entry,
          demandPerS: 0,
          demandConcurrency: 0,
          heldRatePerS: ratePerS,
          heldConcurrency: concurrency,
        })),
      ],
    };
  }

  #applyGrant(grant: RenewGrant, attempt: Attempt): boolean {
    const { clock, contact, logger, assignments } = this.#deps;
    const leaseEndsAt = attempt.sentAt + grant.ttlMs;
    const now = clock.now();
    if (contact.mode() === "cut_off" || now >= leaseEndsAt) return false;
    if (grant.coordinatorEpoch < this.#coordinatorEpoch) {
      logger.warn(
        { epoch: grant.coordinatorEpoch, known: this.#coordinatorEpoch },
        "ignoring an answer of a former coordinator",
      );
      return false;
    }
    this.#coordinatorEpoch = grant.coordinatorEpoch;
    this.#answeredSeq = attempt.report.seq;
    this.#answeredAt = now;
    this.#lease = { shares: grant.shares, endsAt: leaseEndsAt };
    // Rows are adopted first: dispatchers route by them, and a release that is
    // no longer listed has ended only together with the row that ended it.
    for (const { revision, row } of grant.rows) {
      assignments.adopt(revision, row);
    }
    this.#deps.dispatchers.applyGrant(grant, leaseEndsAt);
    this.#deps.limits.apply(grant.shares, leaseEndsAt);
    return true;
  }

  /** Aborts a call when the report or the coordinator has changed. */
  async #abortWhenOutdated(
    attempt: Attempt,
    coordinator: CoordinatorRow,
    callEnd: AbortController,
  ): Promise<void> {
    const { clock, coordinators, region, renewHoldMs } = this.#deps;
    while (!callEnd.signal.aborted) {
      const coordinatorChanged =
        coordinators.get(region)?.row.epoch !== coordinator.epoch;
      const outdated = this.#reportVersion !== attempt.version;
      const sinceAnswerMs = clock.now() - this.#answeredAt;
      const ageMs = clock.now() - attempt.sentAt;
      // If every change aborted the call, a report that changes all the time
      // would never get an answer.
      const mayAbort = ageMs >= MIN_ANSWER_WAIT_MS &&
        sinceAnswerMs < renewHoldMs;
      if (coordinatorChanged || (outdated && mayAbort)) {
        callEnd.abort();
        return;
      }
      if (outdated && sinceAnswerMs < renewHoldMs) {
        await clock.sleep(MIN_ANSWER_WAIT_MS - ageMs, callEnd.signal);
      } else {
        await waitForAny([this.#reportChanged, coordinators.changed], clock, {
          ms: RECHECK_INTERVAL_MS,
          signal: callEnd.signal,
        });
      }
    }
  }

  async #watchReport(signal: AbortSignal): Promise<void> {
    const { dispatchers, clock } = this.#deps;
    const ended = new Promise<void>((resolve) => {
      if (signal.aborted) resolve();
      signal.addEventListener("abort", () => resolve(), { once: true });
    });
    let next = dispatchers.reportChanged();
    for (;;) {
      await Promise.race([next, ended]);
      if (signal.aborted) return;
      next = dispatchers.reportChanged();
      this.#markChanged();
      await clock.sleep(REPORT_BATCH_MS, signal);
    }
  }

  #markChanged(): void {
    this.#reportVersion += 1;
    this.#reportChanged.notify();
  }
}
