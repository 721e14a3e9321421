import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { Metrics } from "../base/metrics.ts";
import type { CatalogueView } from "../catalogue/catalogue_view.ts";
import type { Service } from "../catalogue/service.ts";
import type { UpstreamGrants } from "../contracts/upstream_grants.ts";
import type { UpstreamReports } from "../contracts/upstream_reports.ts";
import type { RenewGrant } from "../regions/renew_grant.ts";
import type { RenewReport } from "../regions/renew_report.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";
import { ChildAbort } from "./child_abort.ts";
import type { DispatchHost } from "./dispatch_host.ts";
import type { DispatchOutcome } from "./dispatch_outcome.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import { Dispatcher } from "./dispatcher.ts";
import type { Dispatching } from "./dispatching.ts";
import { DueTimer } from "./due_timer.ts";
import { refused } from "./refused.ts";

type Options = {
  vm: string;
  region: string;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  catalogue: CatalogueView;
  assignments: AssignmentView;
  reports: UpstreamReports;
  grants: UpstreamGrants;
  timing: { grantRenewMs: number; healthPollMs: number };
  /** Aborts when the process stops; aborts the requests in flight. */
  signal: AbortSignal;
};
/** The coordinator protocol calls dispatch terms `tenures`. */
type GrantedTerm = RenewGrant["tenures"][number];
type ActiveTerm = {
  service: string;
  upstream: string;
  address: string;
  checksGrants: boolean;
  dispatcher: Dispatcher;
  /**
   * Epoch of the coordinator to which the term was reported as ended;
   * undefined if it was not.
   */
  endReportedTo: number | undefined;
};

/**
 * Longest wait for an assignment row or dispatch term that is known to the
 * router that sent the request, but not yet to this one.
 */
const MAX_ROW_WAIT_MS = 250;

/** Starts, keeps and ends this router's dispatchers, one per dispatch term. */
export class DispatcherPool implements DispatchHost, Dispatching {
  readonly #options: Options;
  readonly #terms = new Map<string, ActiveTerm>();
  /** Last known settings of services, in case the catalogue removes one in use. */
  readonly #services = new Map<string, Service>();
  readonly #termsChanged = new ChangeNotifier();
  readonly #reportChanged = new ChangeNotifier();
  readonly #leaseTimer: DueTimer;
  #changedSinceReport = false;
  #coordinatorEpoch = 0;
  #leaseEndsAt = -Infinity;
  #grantSeq = 0;

  /**
   * @param options - this router and the dependencies of its dispatchers
   */
  constructor(options: Options) {
    this.#options = options;
    const { clock, signal } = options;
    this.#leaseTimer = new DueTimer({
      clock,
      signal,
      onDue: () => this.#onLeaseDue(),
    });
    void this.#forwardChanges(options.assignments.changed);
    void this.#forwardChanges(options.catalogue.changed);
  }

  /**
   * @returns the report for the next renewal
   */
  collectReport(): RenewReport {
    this.#changedSinceReport = false;
    const report: RenewReport = {
      tenures: [],
      released: [],
      ended: [],
      upstreams: [],
      hotKeys: [],
    };
    if (!this.#leaseValid()) return report;
    for (const active of this.#terms.values()) {
      const { dispatcher, service, upstream } = active;
      const term = { service, upstream, epoch: dispatcher.epoch };
      if (dispatcher.drained) {
        active.endReportedTo = this.#coordinatorEpoch;
        report.ended.push({ ...term, readyInMs: dispatcher.abandonedMs });
        continue;
      }
      report.tenures.push(term);
      report.released.push(...dispatcher.takeReleased());
      report.upstreams.push(dispatcher.report());
      report.hotKeys.push(...dispatcher.hotKeys());
    }
    return report;
  }

  /**
   * Starts, resumes, drains and stops dispatchers as the coordinator's answer
   * requires.
   *
   * @param grant - the coordinator's answer
   * @param leaseEndsAt - end of the dispatch lease on this router's clock
   */
  applyGrant(grant: RenewGrant, leaseEndsAt: number): void {
    // Ignores a late answer of a coordinator that has been replaced.
    if (grant.coordinatorEpoch < this.#coordinatorEpoch) return;
    this.#coordinatorEpoch = grant.coordinatorEpoch;
    for (const { revision, row } of grant.rows) {
      this.#options.assignments.adopt(revision, row);
    }
    this.#leaseEndsAt = leaseEndsAt;
    this.#leaseTimer.set(leaseEndsAt);

    const ending = new Set(
      grant.endTenures.map((end) => termKey(end.service, end.upstream)),
    );
    const kept = new Set(ending);
    for (const term of grant.tenures) {
      const key = termKey(term.service, term.upstream);
      kept.add(key);
      this.#keepOrStart(key, term);
    }
    for (const [key, active] of this.#terms) {
      if (!kept.has(key)) this.#stop(key, active);
      else if (ending.has(key)) active.dispatcher.drain();
      else this.#resumeUnlessEnded(active);
    }
    const releases = new Map(
      grant.releases.map((release) => [
        termKey(release.service, release.upstream),
        release.units,
      ]),
    );
    for (const [key, { dispatcher }] of this.#terms) {
      dispatcher.setReleases(grant.coordinatorEpoch, releases.get(key) ?? []);
    }
    this.#termsChanged.notify();
  }

  /**
   * @returns a promise that resolves when the report has changed in a way that
   * must be sent to the coordinator at once
   */
  reportChanged(): Promise<void> {
    return this.#changedSinceReport
      ? Promise.resolve()
      : this.#reportChanged.next(this.#options.signal);
  }

  /**
   * Sends a request through the dispatcher of its upstream. Waits for up to
   * 250 ms if this router's assignment row may be stale.
   *
   * @param req - the request
   * @param signal - aborts when the caller disconnects
   * @returns the response or a refusal
   */
  async dispatch(
    req: DispatchRequest,
    signal: AbortSignal,
  ): Promise<DispatchOutcome> {
    if (this.#mayBeStale(req)) await this.#waitForRow(req, signal);
    const active = this.#terms.get(termKey(req.service, req.upstream));
    return active === undefined
      ? refused(
        "not_dispatcher",
        "not_run",
        "this router is not the dispatcher of the upstream",
      )
      : active.dispatcher.dispatch(req, signal);
  }

  /**
   * Returns whether the router that sent the request has a newer assignment
   * row, or this router's row does not list its own dispatch term.
   */
  #mayBeStale(req: DispatchRequest): boolean {
    const { assignments, region } = this.#options;
    const revision = assignments.get(region, req.service)?.revision ?? 0;
    if (revision < req.rowRevision) return true;
    const active = this.#terms.get(termKey(req.service, req.upstream));
    return req.digest !== undefined &&
      active?.dispatcher.owned.rowListsTerm() === false;
  }

  async #waitForRow(req: DispatchRequest, signal: AbortSignal): Promise<void> {
    const { assignments, clock } = this.#options;
    const until = Math.min(clock.now() + MAX_ROW_WAIT_MS, req.deadlineAt);
    while (
      !signal.aborted && clock.now() < until && this.#mayBeStale(req)
    ) {
      const step = new ChildAbort(signal);
      await Promise.race([
        assignments.changed.next(step.signal),
        this.#termsChanged.next(step.signal),
        clock.sleep(until - clock.now(), step.signal),
      ]);
      step.abort();
    }
  }

  #leaseValid(): boolean {
    return this.#options.clock.now() < this.#leaseEndsAt;
  }

  #onLeaseDue(): number {
    if (this.#leaseValid()) return this.#leaseEndsAt;
    for (const { dispatcher } of this.#terms.values()) dispatcher.suspend();
    this.#options.logger.warn(
      // `tenures`: logged name of the number of dispatch terms.
      { tenures: this.#terms.size },
      "dispatch lease expired; refusing requests until it is renewed",
    );
    return Infinity;
  }

  #keepOrStart(key: string, term: GrantedTerm): void {
    const existing = this.#terms.get(key);
    if (existing !== undefined) {
      const { epoch } = existing.dispatcher;
      if (epoch > term.epoch) return;
      if (
        epoch === term.epoch && existing.address === term.address &&
        existing.checksGrants === this.#checksGrants(term.service)
      ) return;
      this.#stop(key, existing);
    }
    const cfg = this.#service(term.service);
    if (cfg === undefined) {
      this.#options.logger.warn(
        { service: term.service, upstream: term.upstream },
        "dispatch term ignored: the service is not in the catalogue",
      );
      return;
    }
    this.#terms.set(key, this.#start(term, cfg, existing?.dispatcher));
  }

  #start(
    term: GrantedTerm,
    cfg: Service,
    predecessor: Dispatcher | undefined,
  ): ActiveTerm {
    const { service, upstream, address, epoch } = term;
    const onChange = () => {
      this.#changedSinceReport = true;
      this.#reportChanged.notify();
    };
    const key = termKey(service, upstream);
    const checksGrants = this.#checksGrants(service);
    const dispatcher = new Dispatcher({
      ...this.#options,
      service,
      upstream,
      address,
      epoch,
      grants: checksGrants ? this.#options.grants : undefined,
      cfg: () => this.#service(service) ?? cfg,
      leaseEndsAt: () => this.#leaseEndsAt,
      nextGrantSeq: (above) => {
        this.#grantSeq = Math.max(this.#grantSeq, above) + 1;
        return this.#grantSeq;
      },
      predecessor,
      onChange,
      onSuperseded: () => {
        const active = this.#terms.get(key);
        if (active?.dispatcher === dispatcher) this.#stop(key, active);
        onChange();
      },
    });
    this.#options.logger.info(
      { service, upstream, epoch },
      "dispatch term started",
    );
    return {
      service,
      upstream,
      address,
      checksGrants,
      dispatcher,
      endReportedTo: undefined,
    };
  }

  #stop(key: string, active: ActiveTerm): void {
    this.#terms.delete(key);
    active.dispatcher.stop();
    const { service, upstream } = active;
    this.#options.logger.info(
      { service, upstream, epoch: active.dispatcher.epoch },
      "dispatch term ended",
    );
  }

  /**
   * Resumes a dispatch term, unless it was reported as ended: the coordinator
   * may then assign it to another router at any moment, so only the answer of a
   * newer coordinator resumes it.
   */
  #resumeUnlessEnded(active: ActiveTerm): void {
    if (active.endReportedTo !== undefined) {
      if (active.endReportedTo >= this.#coordinatorEpoch) return;
      active.endReportedTo = undefined;
    }
    if (!active.dispatcher.accepting) active.dispatcher.resume();
  }

  #service(name: string): Service | undefined {
    const service = this.#options.catalogue.current?.document.services[name];
    if (service !== undefined) this.#services.set(name, service);
    return service ?? this.#services.get(name);
  }

  #checksGrants(service: string): boolean {
    const entries = this.#options.catalogue.current?.document.entries ?? {};
    return Object.values(entries).some((entry) =>
      entry.service === service && entry.checksGrants
    );
  }

  async #forwardChanges(changed: ChangeNotifier): Promise<void> {
    const { signal } = this.#options;
    while (!signal.aborted) {
      await changed.next(signal);
      for (const { dispatcher } of this.#terms.values()) dispatcher.refresh();
    }
  }
}

function termKey(service: string, upstream: string): string {
  return `${service}/${upstream}`;
}
