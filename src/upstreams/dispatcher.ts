import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { Metrics } from "../base/metrics.ts";
import type { Service } from "../catalogue/service.ts";
import type { ServerGrants } from "../contracts/server_grants.ts";
import type { UpstreamReports } from "../contracts/upstream_reports.ts";
import { HOP_HEADER } from "../links/hop_header.ts";
import type { RenewReport } from "../regions/renew_report.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";
import type { Unit } from "../shards/unit.ts";
import { AbandonedRuns } from "./abandoned_runs.ts";
import { AttemptAbandoned } from "./attempt_abandoned.ts";
import { attemptOutcome } from "./attempt_outcome.ts";
import { DispatchJob } from "./dispatch_job.ts";
import type { DispatchOutcome } from "./dispatch_outcome.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import { DueTimer } from "./due_timer.ts";
import { GrantRenewer } from "./grant_renewer.ts";
import { HotKeyTracker } from "./hot_key_tracker.ts";
import { IdleLimit } from "./idle_limit.ts";
import { jobHeaders } from "./job_headers.ts";
import { OwnedUnits } from "./owned_units.ts";
import { RateMeter } from "./rate_meter.ts";
import { refuseAtOnce } from "./refuse_at_once.ts";
import { refused } from "./refused.ts";
import { ReleaseProgress } from "./release_progress.ts";
import { InFlightJobs } from "./in_flight_jobs.ts";
import { StartLimit } from "./start_limit.ts";
import { ServiceTimeEstimate } from "./service_time_estimate.ts";
import { UpstreamCondition } from "./upstream_condition.ts";
import { UpstreamConnections } from "./upstream_connections.ts";
import { UpstreamExchange } from "./upstream_exchange.ts";
import { WaitingJobs } from "./waiting_jobs.ts";

type Options = {
  vm: string;
  region: string;
  service: string;
  upstream: string;
  /** `ip:port` of the upstream. */
  address: string;
  epoch: number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  assignments: AssignmentView;
  reports: UpstreamReports;
  /** Undefined if the upstream does not check grants. */
  grants: ServerGrants | undefined;
  /** The service as the catalogue in force describes it. */
  cfg: () => Service;
  timing: { grantRenewMs: number; healthPollMs: number };
  /** End of the dispatch lease on this router's clock. */
  leaseEndsAt: () => number;
  nextGrantSeq: (above: number) => number;
  /** Earlier dispatch term whose requests may still run at the upstream. */
  predecessor: Dispatcher | undefined;
  /** The report to the coordinator has changed. */
  onChange: () => void;
  /** The upstream holds a grant of a later dispatch term. */
  onSuperseded: () => void;
  /** The process stops: everything ends at once. */
  signal: AbortSignal;
};

type Mode =
  /** Accepts requests while the dispatch lease runs. */
  | "live"
  /** Waits for its requests to end before the dispatch term is handed over. */
  | "draining"
  /** The dispatch lease ended; it may come back with the same epoch. */
  | "suspended"
  /** The dispatch term has ended for good. */
  | "stopped";

const HOT_KEY_SHARE = 0.1;
const HOT_KEY_MIN_PER_S = 1;

/** Sends requests to one upstream during one dispatch term. */
export class Dispatcher {
  readonly epoch: number;
  readonly owned: OwnedUnits;
  readonly #options: Omit<Options, "predecessor">;
  readonly #clock: Clock;
  readonly #waiting = new WaitingJobs();
  readonly #startLimit: StartLimit;
  readonly #running: InFlightJobs;
  readonly #releases: ReleaseProgress;
  readonly #condition: UpstreamCondition;
  readonly #rate: RateMeter;
  readonly #hotKeys: HotKeyTracker;
  readonly #abandoned: AbandonedRuns;
  readonly #connections: UpstreamConnections;
  readonly #renewer: GrantRenewer | undefined;
  readonly #timer: DueTimer;
  /** Ends the tasks of the dispatch term. */
  readonly #term = new AbortController();
  /** Ends connections and timers, after the last request. */
  readonly #end = new AbortController();
  /** Lets the next dispatch term go on after a request of this one. */
  #afterRequest: () => void = () => undefined;
  #mode: Mode = "live";
  #drainingSince: number | undefined;

  /**
   * Starts the dispatch term.
   *
   * @param options - the dispatch term, and what it depends on
   */
  constructor({ predecessor, ...options }: Options) {
    this.#options = options;
    const { address, clock, grants, timing } = options;
    this.epoch = options.epoch;
    this.#clock = clock;
    this.owned = predecessor?.epoch === options.epoch
      ? predecessor.owned
      : new OwnedUnits(options);
    this.#running = new InFlightJobs(
      predecessor === undefined ? undefined : predecessor.#running,
    );
    this.#condition = new UpstreamCondition({
      ...options,
      healthPollMs: timing.healthPollMs,
      active: () => this.accepting,
      unansweredSince: () => this.#running.unansweredSince(),
      onAnswer: () => this.#giveUpSilent(),
      onChange: () => this.#onStateChange(),
      onRestart: () => this.#renewer?.forgetClock(),
      onDueAt: (at) => this.#timer.set(at),
      signal: this.#end.signal,
    });
    this.#rate = new RateMeter(clock);
    this.#hotKeys = new HotKeyTracker(clock);
    this.#abandoned = predecessor === undefined
      ? new AbandonedRuns(clock)
      : predecessor.#abandoned;
    this.#startLimit = new StartLimit({
      running: this.#running,
      abandoned: this.#abandoned,
      condition: this.#condition,
      slots: () => this.#slots(),
      clock,
    });
    this.#connections = new UpstreamConnections({
      address,
      clock,
      idleLimit: new IdleLimit(),
      awaitAcceptance: () => false,
      signal: this.#end.signal,
      onConnected: () => this.#condition.onConnected(),
      onConnectFailed: () => this.#condition.onConnectFailed(),
      onAllClosed: (reset) => this.#condition.onAllClosed(reset),
    });
    this.#renewer = grants && new GrantRenewer({
      address,
      clock,
      grants,
      logger: options.logger,
      dispatcher: options.vm,
      epoch: options.epoch,
      renewMs: timing.grantRenewMs,
      units: () => this.owned.granted(),
      leaseEndsAt: options.leaseEndsAt,
      nextSeq: options.nextGrantSeq,
      onSuperseded: options.onSuperseded,
      onChange: () => {
        this.#checkReleases();
        this.#releases.announce();
        this.#pump();
      },
    });
    this.#releases = new ReleaseProgress({
      owned: this.owned,
      running: this.#running,
      abandoned: this.#abandoned,
      renewer: this.#renewer,
      onChange: options.onChange,
    });
    this.#timer = new DueTimer({
      clock,
      signal: this.#end.signal,
      onDue: () => this.#onDue(),
    });
    if (predecessor !== undefined) {
      predecessor.#afterRequest = () => this.#onRequestEnded();
    }
    options.signal.addEventListener("abort", this.#abort, { once: true });
    void this.#condition.run(this.#term.signal);
    void this.#renewer?.run(this.#term.signal);
  }

  /**
   * @returns whether requests are accepted
   */
  get accepting(): boolean {
    return this.#mode === "live" && this.#leaseRuns();
  }

  /**
   * @returns whether the dispatch term is being handed over
   */
  get draining(): boolean {
    return this.#mode === "draining";
  }

  /**
   * @returns whether the dispatch term is handed over and its last request has
   * ended
   */
  get drained(): boolean {
    return this.#mode === "draining" &&
      this.#running.atUpstream().length === 0;
  }

  /**
   * Makes one attempt.
   *
   * @param req - request for this upstream
   * @param signal - the caller went away
   * @returns the response or a refusal
   */
  dispatch(
    req: DispatchRequest,
    signal: AbortSignal,
  ): Promise<DispatchOutcome> {
    const refusal = refuseAtOnce(req, {
      accepting: this.accepting,
      lost: this.#condition.lost,
      drainingSince: this.#condition.drainingSince,
      callerDisconnected: signal.aborted,
    }, this.#clock.now());
    if (refusal !== undefined) return Promise.resolve(refusal);
    const unit = req.digest === undefined
      ? undefined
      : this.owned.accepts(req.digest);
    if (req.digest !== undefined) {
      if (unit === undefined) {
        return Promise.resolve(refused(
          "not_owner",
          "not_run",
          "the upstream does not own the key",
        ));
      }
      this.#hotKeys.add(req.digest);
    }
    const job = new DispatchJob(req, unit, signal);
    this.#waiting.add(job);
    this.#pump();
    if (
      job.progress.kind === "queued" &&
      this.#waiting.size > this.#options.cfg().queue
    ) {
      this.#waiting.remove(job);
      return Promise.resolve(refused(
        "queue_full",
        "not_run",
        "too many requests wait for the upstream",
        { waitMs: this.waitMs() },
      ));
    }
    if (job.progress.kind === "queued") {
      this.#timer.set(req.deadlineAt);
      this.#waiting.watchCaller(job);
    }
    return job.outcome;
  }

  /**
   * @returns milliseconds until a request that arrived now would be answered
   */
  waitMs(): number {
    const waiting = this.#running.size + this.#waiting.size;
    const ms = ServiceTimeEstimate.waitMs(
      waiting,
      this.#slots(),
      this.#serviceMs(),
    );
    if (!this.#condition.cold) return ms;
    const startsIn =
      this.#condition.warmUp.nextStartAt(this.#condition.estimate.median()) -
      this.#clock.now();
    return Math.max(ms, startsIn);
  }

  /**
   * @returns what the coordinator is told of the upstream
   */
  report(): RenewReport["upstreams"][number] {
    const { service, upstream } = this.#options;
    return {
      service,
      upstream,
      state: this.#condition.state,
      inFlight: this.#running.size,
      queued: this.#waiting.size,
      serviceMs: this.#serviceMs(),
      ratePerS: this.#rate.perSecond(),
    };
  }

  /**
   * @returns keys that carry much of the upstream's load
   */
  hotKeys(): RenewReport["hotKeys"] {
    const { service, upstream } = this.#options;
    // The coordinator needs the rate of a pinned key to unpin it.
    const pinned = new Set(this.owned.pinned());
    return this.#hotKeys.hot(HOT_KEY_SHARE, HOT_KEY_MIN_PER_S, pinned)
      .map(({ digest, ratePerS }) => ({ service, digest, upstream, ratePerS }));
  }

  /**
   * Names the units whose release is complete; from now on only a newer
   * coordinator gives them back.
   *
   * @returns the units for the next report
   */
  takeReleased(): RenewReport["released"] {
    const { service, upstream } = this.#options;
    return this.#releases.takeReleased().map((ready) => ({
      service,
      upstream,
      ...ready,
    }));
  }

  /**
   * @param coordinatorEpoch - epoch of the coordinator that answered
   * @param units - complete list of units to release
   */
  setReleases(coordinatorEpoch: number, units: readonly Unit[]): void {
    this.owned.setReleases(coordinatorEpoch, units, this.#clock.now());
    this.#unitsChanged();
  }

  /** The assignment row or the catalogue has changed. */
  rowChanged(): void {
    this.#condition.warmUp.update(this.#options.cfg());
    this.owned.rowChanged();
    this.#unitsChanged();
  }

  /** Stops sending, because the dispatch lease has ended. */
  suspend(): void {
    if (this.#mode === "stopped") return;
    this.#mode = "suspended";
    this.#waiting.refuse(() => true, "not_dispatcher");
  }

  /** Accepts requests again, with the same epoch. */
  resume(): void {
    if (this.#mode === "stopped") return;
    this.#mode = "live";
    this.#drainingSince = undefined;
    this.#condition.reconsider();
    this.#renewer?.changed();
    this.#pump();
  }

  /** Accepts nothing more and waits for the requests in flight. */
  drain(): void {
    if (this.#mode === "draining" || this.#mode === "stopped") return;
    this.#mode = "draining";
    this.#drainingSince = this.#clock.now();
    this.#waiting.refuse(() => true, "not_dispatcher");
    this.#timer.set(this.#drainingSince + this.#options.cfg().maxRunMs);
  }

  /** Ends the dispatch term; requests in flight may end. */
  stop(): void {
    if (this.#mode === "stopped") return;
    this.#mode = "stopped";
    this.#waiting.refuse(() => true, "not_dispatcher");
    this.#term.abort();
    this.#endWhenIdle();
  }

  readonly #abort = (): void => {
    this.stop();
    this.#running.abandonAll("stopped");
    this.#end.abort();
  };

  #endWhenIdle(): void {
    if (this.#mode !== "stopped" || this.#running.size > 0) return;
    this.#options.signal.removeEventListener("abort", this.#abort);
    this.#end.abort();
  }

  #leaseRuns(): boolean {
    return this.#clock.now() < this.#options.leaseEndsAt();
  }

  #slots(): number {
    const { connections, slots } = this.#options.cfg();
    return Math.min(slots, UpstreamConnections.usable(connections));
  }

  /**
   * The median lags while requests are stuck: if even the youngest of a full
   * set of slots has waited longer, that is the better estimate.
   */
  #serviceMs(): number {
    const median = this.#condition.estimate.median();
    if (this.#running.size < this.#slots()) return median;
    return Math.max(median, this.#running.stuckMs(this.#clock.now()));
  }

  /** Starts as many waiting requests as the limits allow. */
  #pump(): void {
    if (this.#mode !== "live" || this.#waiting.size === 0) return;
    if (!this.#leaseRuns()) {
      this.#waiting.refuse(() => true, "not_dispatcher");
      return;
    }
    while (this.#waiting.size > 0) {
      const startAt = this.#startLimit.nextStartAt();
      if (startAt > this.#clock.now()) {
        this.#timer.set(startAt);
        return;
      }
      const job = this.#waiting.take((item) =>
        item.unit === undefined ||
        this.#renewer?.holds(item.unit) !== false
      );
      if (job === undefined) return;
      void this.#run(job);
    }
  }

  async #run(job: DispatchJob): Promise<void> {
    const { connections, maxRunMs } = this.#options.cfg();
    const { req } = job;
    const startedAt = this.#clock.now();
    job.progress = { kind: "connecting" };
    this.#running.add(job);
    this.#condition.warmUp.started();
    this.#rate.add();
    this.#timer.set(req.deadlineAt);
    const connection = this.#connections.acquire(
      UpstreamConnections.usable(connections),
      req.idempotent,
    );
    const runMs = Math.ceil(Math.min(maxRunMs, req.deadlineAt - startedAt));
    const cancel = () =>
      job.exchange?.abandon(new AttemptAbandoned("cancelled"));
    job.signal.addEventListener("abort", cancel, { once: true });
    job.exchange = new UpstreamExchange({
      connection,
      request: req,
      headers: jobHeaders(job, this, runMs),
      beforeSend: () => this.#beforeSend(job, runMs),
      onEnded: (err) => {
        job.signal.removeEventListener("abort", cancel);
        if (err === undefined) this.#connections.release(connection);
        else this.#connections.discard(connection, err);
        this.#onEnded(job, err);
      },
    });
    const head = await job.exchange.head;
    const answeredAt = this.#clock.now();
    if (head.kind === "answered") this.#onAnswer(job, head);
    const outcome = attemptOutcome(head, this.waitMs());
    if (head.kind === "answered" && outcome.kind === "refused") {
      head.body.resume();
    }
    this.#count(outcome, answeredAt - startedAt);
    job.settle(outcome);
  }

  /** The last check, right before the first byte is written. */
  #beforeSend(job: DispatchJob, runMs: number): Error | undefined {
    const now = this.#clock.now();
    const { deadlineAt, digest } = job.req;
    if (!this.#leaseRuns() || this.#mode === "stopped") {
      return new AttemptAbandoned("not_dispatcher");
    }
    if (digest !== undefined && this.owned.accepts(digest) !== job.unit) {
      return new AttemptAbandoned("not_owner");
    }
    if (deadlineAt <= now) return new AttemptAbandoned("deadline");
    job.progress = { kind: "sent", at: now, runEndsAt: now + runMs };
    this.#timer.set(now + runMs);
    this.#condition.sent();
    return undefined;
  }

  #onAnswer(
    job: DispatchJob,
    head: Parameters<UpstreamCondition["onAnswer"]>[0],
  ): void {
    const { progress } = job;
    if (progress.kind !== "sent") return;
    job.progress = { kind: "answered", runEndsAt: progress.runEndsAt };
    if (head.headers[HOP_HEADER.notRun] === "grant") this.#renewer?.changed();
    this.#condition.onAnswer(head, progress.at);
  }

  #onStateChange(): void {
    if (this.#condition.lost) this.#waiting.refuse(() => true, "silent");
    this.#checkReleases();
    this.#options.onChange();
    this.#pump();
  }

  /** Closes connections that are silent while the upstream answers others. */
  #giveUpSilent(): void {
    this.#running.abandonSilent(this.#condition.silenceMs, {
      isSilent: (sentAt) => this.#condition.answeredOthersSince(sentAt),
      onGivenUp: (waitedMs) => this.#condition.estimate.add(waitedMs),
    }, this.#clock.now());
  }

  #onEnded(job: DispatchJob, err: Error | undefined): void {
    this.#running.delete(job);
    const { progress } = job;
    if (err !== undefined && "runEndsAt" in progress) {
      this.#abandoned.add({
        unit: job.unit,
        digest: job.req.digest,
        closedByUpstream: !(err instanceof AttemptAbandoned),
        until: progress.runEndsAt,
      });
    }
    this.#onRequestEnded();
    this.#endWhenIdle();
  }

  #onRequestEnded(): void {
    if (this.#mode === "stopped") {
      this.#afterRequest();
      return;
    }
    this.#checkReleases();
    this.#pump();
    this.#afterRequest();
    if (this.drained) this.#options.onChange();
  }

  #unitsChanged(): void {
    this.#waiting.reassign((digest) => this.owned.accepts(digest));
    this.#checkReleases();
    this.#releases.regrant();
    this.#pump();
  }

  #checkReleases(): void {
    // A later dispatch term of the same epoch shares the releases and decides.
    if (this.#mode === "stopped") return;
    const { maxRunMs } = this.#options.cfg();
    const { lost } = this.#condition;
    this.#timer.set(
      this.#releases.check({ lost, maxRunMs }, this.#clock.now()),
    );
  }

  /** Handles everything whose time has come; returns the next time. */
  #onDue(): number {
    const now = this.#clock.now();
    this.#waiting.refuse((job) => job.req.deadlineAt <= now, "deadline");
    this.#running.abandonOverdue(
      (ranMs) => this.#condition.estimate.add(ranMs),
      now,
    );
    this.#giveUpSilent();
    this.#checkReleases();
    if (
      this.#drainingSince !== undefined &&
      now >= this.#drainingSince + this.#options.cfg().maxRunMs
    ) {
      for (const job of this.#running.atUpstream()) {
        job.exchange?.abandon(new AttemptAbandoned("handed_over"));
      }
    }
    const checkAt = this.#condition.due();
    this.#pump();
    return Math.min(checkAt, this.#nextDue());
  }

  #nextDue(): number {
    const now = this.#clock.now();
    const times = this.#running.dueTimes(this.#condition.silenceMs);
    times.push(...this.#waiting.deadlines());
    return Math.min(...times.filter((at) => at > now));
  }

  #count(outcome: DispatchOutcome, ms: number): void {
    const { metrics, region, service } = this.#options;
    const tags = { service, region };
    if (outcome.kind === "response") {
      metrics.timing("dispatch.answer_ms", ms, tags);
    } else if (outcome.refusal.outcome === "outcome_unknown") {
      metrics.increment("dispatch.outcome_unknown", 1, tags);
    } else metrics.increment("dispatch.not_run", 1, tags);
  }
}
