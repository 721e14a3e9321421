import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { Metrics } from "../base/metrics.ts";
import type { CatalogueView } from "../catalogue/catalogue_view.ts";
import type { Service } from "../catalogue/service.ts";
import type { ServerGrants } from "../contracts/server_grants.ts";
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
  grants: ServerGrants;
  timing: { grantRenewMs: number; healthPollMs: number };
  /** The process stops: requests in flight are given up. */
  signal: AbortSignal;
};
type GrantedTerm = RenewGrant["tenures"][number];
type Held = {
  service: string;
  upstream: string;
  address: string;
  checksGrants: boolean;
  dispatcher: Dispatcher;
  /** Coordinator that was told that the dispatch term is ended, if one was. */
  endReportedTo: number | undefined;
};

/** Longest wait for a row that the entry router knows and this one does not. */
const ROW_WAIT_MS = 250;

/** The dispatchers of this router, one for each dispatch term. */
export class DispatcherPool implements DispatchHost, Dispatching {
  readonly #options: Options;
  readonly #held = new Map<string, Held>();
  /** Last known service, in case the catalogue drops one that is in use. */
  readonly #services = new Map<string, Service>();
  readonly #termsChanged = new ChangeNotifier();
  readonly #reportChanged = new ChangeNotifier();
  readonly #leaseTimer: DueTimer;
  #changedSinceReport = false;
  #coordinatorEpoch = 0;
  #leaseEndsAt = -Infinity;
  #grantSeq = 0;

  /**
   * @param options - this router, and what its dispatchers depend on
   */
  constructor(options: Options) {
    this.#options = options;
    const { clock, signal } = options;
    this.#leaseTimer = new DueTimer({
      clock,
      signal,
      onDue: () => this.#onLeaseDue(),
    });
    void this.#follow(options.assignments.changed);
    void this.#follow(options.catalogue.changed);
  }

  /**
   * @returns the report for the next renewal
   */
  collect(): RenewReport {
    this.#changedSinceReport = false;
    const report: RenewReport = {
      tenures: [],
      released: [],
      ended: [],
      upstreams: [],
      hotKeys: [],
    };
    if (!this.#leaseRuns()) return report;
    for (const held of this.#held.values()) {
      const { dispatcher, service, upstream } = held;
      const term = { service, upstream, epoch: dispatcher.epoch };
      if (dispatcher.drained) {
        held.endReportedTo = this.#coordinatorEpoch;
        report.ended.push(term);
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
   * @param grant - the coordinator's answer
   * @param leaseEndsAt - end of the dispatch lease on this router's clock
   */
  apply(grant: RenewGrant, leaseEndsAt: number): void {
    // A late answer of a coordinator that has been replaced.
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
    const wanted = new Set(ending);
    for (const term of grant.tenures) {
      const key = termKey(term.service, term.upstream);
      wanted.add(key);
      this.#keepOrStart(key, term);
    }
    for (const [key, held] of this.#held) {
      if (!wanted.has(key)) this.#stop(key, held);
      else if (ending.has(key)) held.dispatcher.drain();
      else this.#keepLive(held);
    }
    const releases = new Map(
      grant.releases.map((release) => [
        termKey(release.service, release.upstream),
        release.units,
      ]),
    );
    for (const [key, { dispatcher }] of this.#held) {
      dispatcher.setReleases(grant.coordinatorEpoch, releases.get(key) ?? []);
    }
    this.#termsChanged.notify();
  }

  /**
   * @returns a promise that resolves when the report has changed in a way that
   * the coordinator should hear at once
   */
  reportChanged(): Promise<void> {
    return this.#changedSinceReport
      ? Promise.resolve()
      : this.#reportChanged.next(this.#options.signal);
  }

  /**
   * @param req - the request
   * @param signal - the caller went away
   * @returns the response or a refusal
   */
  async dispatch(
    req: DispatchRequest,
    signal: AbortSignal,
  ): Promise<DispatchOutcome> {
    if (this.#mayBeBehind(req)) await this.#waitForRow(req, signal);
    const held = this.#held.get(termKey(req.service, req.upstream));
    return held === undefined
      ? refused(
        "not_dispatcher",
        "not_run",
        "this router is not the dispatcher of the upstream",
      )
      : held.dispatcher.dispatch(req, signal);
  }

  /** Whether the router that sent the request knows more than this one. */
  #mayBeBehind(req: DispatchRequest): boolean {
    const { assignments, region } = this.#options;
    const revision = assignments.get(region, req.service)?.revision ?? 0;
    if (revision < req.rowRevision) return true;
    const held = this.#held.get(termKey(req.service, req.upstream));
    return req.digest !== undefined &&
      held?.dispatcher.owned.rowNamesTerm() === false;
  }

  async #waitForRow(req: DispatchRequest, signal: AbortSignal): Promise<void> {
    const { assignments, clock } = this.#options;
    const until = Math.min(clock.now() + ROW_WAIT_MS, req.deadlineAt);
    while (
      !signal.aborted && clock.now() < until && this.#mayBeBehind(req)
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

  #leaseRuns(): boolean {
    return this.#options.clock.now() < this.#leaseEndsAt;
  }

  #onLeaseDue(): number {
    if (this.#leaseRuns()) return this.#leaseEndsAt;
    for (const { dispatcher } of this.#held.values()) dispatcher.suspend();
    this.#options.logger.warn(
      { tenures: this.#held.size },
      "the dispatch lease ended",
    );
    return Infinity;
  }

  #keepOrStart(key: string, term: GrantedTerm): void {
    const known = this.#held.get(key);
    if (known !== undefined) {
      const { epoch } = known.dispatcher;
      if (epoch > term.epoch) return;
      if (
        epoch === term.epoch && known.address === term.address &&
        known.checksGrants === this.#checksGrants(term.service)
      ) return;
      this.#stop(key, known);
    }
    const cfg = this.#service(term.service);
    if (cfg === undefined) {
      this.#options.logger.warn(
        { service: term.service, upstream: term.upstream },
        "a dispatch term of a service that is not in the catalogue",
      );
      return;
    }
    this.#held.set(key, this.#start(term, cfg, known?.dispatcher));
  }

  #start(
    term: GrantedTerm,
    cfg: Service,
    predecessor: Dispatcher | undefined,
  ): Held {
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
        const held = this.#held.get(key);
        if (held?.dispatcher === dispatcher) this.#stop(key, held);
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

  #stop(key: string, held: Held): void {
    this.#held.delete(key);
    held.dispatcher.stop();
    const { service, upstream } = held;
    this.#options.logger.info(
      { service, upstream, epoch: held.dispatcher.epoch },
      "dispatch term ended",
    );
  }

  /**
   * A dispatch term that was reported as ended may be given to another router
   * at any moment, so only the answer of a newer coordinator gives it back.
   */
  #keepLive(held: Held): void {
    if (held.endReportedTo !== undefined) {
      if (held.endReportedTo >= this.#coordinatorEpoch) return;
      held.endReportedTo = undefined;
    }
    if (!held.dispatcher.accepting) held.dispatcher.resume();
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

  async #follow(changed: ChangeNotifier): Promise<void> {
    const { signal } = this.#options;
    while (!signal.aborted) {
      await changed.next(signal);
      for (const { dispatcher } of this.#held.values()) dispatcher.rowChanged();
    }
  }
}

function termKey(service: string, upstream: string): string {
  return `${service}/${upstream}`;
}
