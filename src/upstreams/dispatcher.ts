import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { Metrics } from "../base/metrics.ts";
import type { Service } from "../catalogue/service.ts";
import type { UpstreamGrants } from "../contracts/upstream_grants.ts";
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
import { immediateRefusal } from "./immediate_refusal.ts";
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
  grants: UpstreamGrants | undefined;
  /** Returns the service's settings in the current catalogue. */
  cfg: () => Service;
  timing: { grantRenewMs: number; healthPollMs: number };
  /** Returns the end of the dispatch lease on this router's clock. */
  leaseEndsAt: () => number;
  /** Returns the next sequence number of a grant, greater than `above`. */
  nextGrantSeq: (above: number) => number;
  /** Earlier dispatch term whose requests may still run at the upstream. */
  predecessor: Dispatcher | undefined;
  /** Called when the report to the coordinator has changed. */
  onChange: () => void;
  /** Called when the upstream holds a grant of a later dispatch term. */
  onSuperseded: () => void;
  /** Aborts when the process stops; aborts all requests in flight. */
  signal: AbortSignal;
};

type Mode =
  /** Accepts requests while the dispatch lease is valid. */
  | "live"
  /** Accepts no requests; hands the term over when those in flight end. */
  | "draining"
  /** The dispatch lease expired; it may be renewed with the same epoch. */
  | "suspended"
  /** The dispatch term has ended and cannot be resumed. */
  | "stopped";

/** A key is reported as hot above this fraction of the upstream's requests. */
const HOT_KEY_MIN_FRACTION = 0.1;
const HOT_KEY_MIN_RATE_PER_S = 1;

/**
 * Queues and sends the requests for one upstream during one dispatch term, the
 * time during which this router alone may send to the upstream.
 */
export class Dispatcher {
  readonly epoch: number;
  readonly owned: OwnedUnits;
  readonly #options: Omit<Options, "predecessor">;
  readonly #clock: Clock;
  readonly #waiting = new WaitingJobs();
  readonly #startLimit: StartLimit;
  readonly #inFlight: InFlightJobs;
  readonly #releases: ReleaseProgress;
  readonly #condition: UpstreamCondition;
  readonly #rate: RateMeter;
  readonly #hotKeys: HotKeyTracker;
  readonly #abandonedRuns: AbandonedRuns;
  readonly #connections: UpstreamConnections;
  readonly #renewer: GrantRenewer | undefined;
  readonly #timer: DueTimer;
  /** Ends health polling and grant renewal when the dispatch term ends. */
  readonly #termTasks = new AbortController();
  /** Closes connections and timers after the last request has ended. */
  readonly #resources = new AbortController();
  /** Notifies the next dispatch term that a request of this one has ended. */
  #notifySuccessor: () => void = () => undefined;
  #mode: Mode = "live";
  #drainingSince: number | undefined;

  /**
   * Starts the dispatch term.
   *
   * @param options - the dispatch term and its dependencies
   */
  constructor({ predecessor, ...options }: Options) {
    this.#options = options;
    const { address, clock, grants, timing } = options;
    this.epoch = options.epoch;
    this.#clock = clock;
    this.owned = predecessor?.epoch === options.epoch
      ? predecessor.owned
      : new OwnedUnits(options);
    this.#inFlight = new InFlightJobs(
      predecessor === undefined ? undefined : predecessor.#inFlight,
    );
    this.#condition = new UpstreamCondition({
      ...options,
      healthPollMs: timing.healthPollMs,
      active: () => this.accepting,
      unansweredSince: () => this.#inFlight.unansweredSince(),
      onAnswer: () => this.#abandonSilentRequests(),
      onChange: () => this.#onStateChange(),
      onRestart: () => this.#renewer?.discardClockReading(),
      onDueAt: (at) => this.#timer.set(at),
      signal: this.#resources.signal,
    });
    this.#rate = new RateMeter(clock);
    this.#hotKeys = new HotKeyTracker(clock);
    this.#abandonedRuns = predecessor === undefined
      ? new AbandonedRuns(clock)
      : predecessor.#abandonedRuns;
    this.#startLimit = new StartLimit({
      inFlight: this.#inFlight,
      abandoned: this.#abandonedRuns,
      condition: this.#condition,
      slots: () => this.#slots(),
      clock,
    });
    this.#connections = new UpstreamConnections({
      address,
      clock,
      idleLimit: new IdleLimit(),
      waitForAcceptance: () => false,
      signal: this.#resources.signal,
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
      units: () => this.owned.unitsToGrant(),
      leaseEndsAt: options.leaseEndsAt,
      nextSeq: options.nextGrantSeq,
      onSuperseded: options.onSuperseded,
      onChange: () => {
        this.#checkReleases();
        this.#releases.notifyIfReadyChanged();
        this.#startWaitingJobs();
      },
    });
    this.#releases = new ReleaseProgress({
      owned: this.owned,
      inFlight: this.#inFlight,
      abandoned: this.#abandonedRuns,
      renewer: this.#renewer,
      onChange: options.onChange,
    });
    this.#timer = new DueTimer({
      clock,
      signal: this.#resources.signal,
      onDue: () => this.#onDue(),
    });
    if (predecessor !== undefined) {
      predecessor.#notifySuccessor = () => this.#onRequestEnded();
    }
    options.signal.addEventListener("abort", this.#onProcessStop, {
      once: true,
    });
    void this.#condition.run(this.#termTasks.signal);
    void this.#renewer?.run(this.#termTasks.signal);
  }

  /**
   * @returns whether requests are accepted
   */
  get accepting(): boolean {
    return this.#mode === "live" && this.#leaseValid();
  }

  /**
   * @returns whether the dispatch term is being handed over
   */
  get draining(): boolean {
    return this.#mode === "draining";
  }

  /**
   * @returns whether the dispatch term is being handed over and its last
   * request has ended
   */
  get drained(): boolean {
    return this.#mode === "draining" &&
      this.#inFlight.withEarlierTerms().length === 0;
  }

  /**
   * @returns milliseconds for which the upstream may run abandoned requests; 0
   * if it checks grants, since it refuses those of a former dispatch term
   */
  get abandonedMs(): number {
    return this.#renewer === undefined
      ? this.#abandonedRuns.remainingMs(() => true)
      : 0;
  }

  /**
   * Makes one attempt to have the upstream serve a request.
   *
   * @param req - request for this upstream
   * @param signal - aborts when the caller disconnects
   * @returns the response or a refusal
   */
  dispatch(
    req: DispatchRequest,
    signal: AbortSignal,
  ): Promise<DispatchOutcome> {
    const refusal = immediateRefusal(req, {
      accepting: this.accepting,
      lost: this.#condition.lost,
      drainingSince: this.#condition.drainingSince,
      callerDisconnected: signal.aborted,
    }, this.#clock.now());
    if (refusal !== undefined) return Promise.resolve(refusal);
    const unit = req.digest === undefined
      ? undefined
      : this.owned.unitAccepting(req.digest);
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
    this.#startWaitingJobs();
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
   * @returns estimated milliseconds until the answer to a request that arrives
   * now
   */
  waitMs(): number {
    const waiting = this.#inFlight.size + this.#waiting.size;
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
   * @returns the report on the upstream for the coordinator
   */
  report(): RenewReport["upstreams"][number] {
    const { service, upstream } = this.#options;
    return {
      service,
      upstream,
      state: this.#condition.state,
      inFlight: this.#inFlight.size,
      queued: this.#waiting.size,
      serviceMs: this.#serviceMs(),
      ratePerS: this.#rate.perSecond(),
    };
  }

  /**
   * @returns keys that receive a large fraction of the upstream's requests, and
   * all pinned keys
   */
  hotKeys(): RenewReport["hotKeys"] {
    const { service, upstream } = this.#options;
    // The coordinator needs the rate of a pinned key to unpin it.
    const pinned = new Set(this.owned.pinnedDigests());
    return this.#hotKeys.hot(
      HOT_KEY_MIN_FRACTION,
      HOT_KEY_MIN_RATE_PER_S,
      pinned,
    )
      .map(({ digest, ratePerS }) => ({ service, digest, upstream, ratePerS }));
  }

  /**
   * Returns the units whose release is complete and marks them as reported;
   * only a newer coordinator can then withdraw their release.
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
   * Replaces the list of units to release.
   *
   * @param coordinatorEpoch - epoch of the coordinator that sent the list
   * @param units - complete list of units to release
   */
  setReleases(coordinatorEpoch: number, units: readonly Unit[]): void {
    this.owned.setReleases(coordinatorEpoch, units, this.#clock.now());
    this.#unitsChanged();
  }

  /** Applies a change of the assignment row or the catalogue. */
  refresh(): void {
    this.#condition.warmUp.update(this.#options.cfg());
    this.owned.onRowChanged();
    this.#unitsChanged();
  }

  /** Stops sending and refuses waiting requests: the dispatch lease expired. */
  suspend(): void {
    if (this.#mode === "stopped") return;
    this.#mode = "suspended";
    this.#waiting.refuse(() => true, "not_dispatcher");
  }

  /** Accepts requests again, with the same epoch. No effect once stopped. */
  resume(): void {
    if (this.#mode === "stopped") return;
    this.#mode = "live";
    this.#drainingSince = undefined;
    this.#condition.reschedulePoll();
    this.#renewer?.renewNow();
    this.#startWaitingJobs();
  }

  /**
   * Accepts no more requests and waits for those in flight; aborts them after
   * `maxRunMs`.
   */
  drain(): void {
    if (this.#mode === "draining" || this.#mode === "stopped") return;
    this.#mode = "draining";
    this.#drainingSince = this.#clock.now();
    this.#waiting.refuse(() => true, "not_dispatcher");
    this.#timer.set(this.#drainingSince + this.#options.cfg().maxRunMs);
  }

  /** Ends the dispatch term; requests in flight may complete. */
  stop(): void {
    if (this.#mode === "stopped") return;
    this.#mode = "stopped";
    this.#waiting.refuse(() => true, "not_dispatcher");
    this.#termTasks.abort();
    this.#closeWhenIdle();
  }

  readonly #onProcessStop = (): void => {
    this.stop();
    this.#inFlight.abandonAll("stopped");
    this.#resources.abort();
  };

  #closeWhenIdle(): void {
    if (this.#mode !== "stopped" || this.#inFlight.size > 0) return;
    this.#options.signal.removeEventListener("abort", this.#onProcessStop);
    this.#resources.abort();
  }

  #leaseValid(): boolean {
    return this.#clock.now() < this.#options.leaseEndsAt();
  }

  #slots(): number {
    const { connections, slots } = this.#options.cfg();
    return Math.min(slots, UpstreamConnections.usable(connections));
  }

  /**
   * Estimates the service time. The median lags while requests get no answer,
   * so when all slots are in use and even the newest request has waited longer
   * than the median, that wait is used instead.
   */
  #serviceMs(): number {
    const median = this.#condition.estimate.median();
    if (this.#inFlight.size < this.#slots()) return median;
    return Math.max(
      median,
      this.#inFlight.youngestUnansweredMs(this.#clock.now()),
    );
  }

  /** Sends as many waiting requests as the limits allow. */
  #startWaitingJobs(): void {
    if (this.#mode !== "live" || this.#waiting.size === 0) return;
    if (!this.#leaseValid()) {
      this.#waiting.refuse(() => true, "not_dispatcher");
      return;
    }
    while (this.#waiting.size > 0) {
      const startAt = this.#startLimit.nextStartAt();
      if (startAt > this.#clock.now()) {
        this.#timer.set(startAt);
        return;
      }
      const job = this.#waiting.takeFirst((item) =>
        item.unit === undefined ||
        this.#renewer?.holdsGrant(item.unit) !== false
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
    this.#inFlight.add(job);
    this.#condition.warmUp.onStarted();
    this.#rate.add();
    this.#timer.set(req.deadlineAt);
    const connection = this.#connections.acquire(
      UpstreamConnections.usable(connections),
      { idempotent: req.idempotent },
    );
    const runMs = Math.ceil(Math.min(maxRunMs, req.deadlineAt - startedAt));
    const cancel = () => job.exchange?.abort(new AttemptAbandoned("cancelled"));
    job.signal.addEventListener("abort", cancel, { once: true });
    let reusable = true;
    job.exchange = new UpstreamExchange({
      connection,
      request: req,
      headers: jobHeaders(job, this, runMs),
      beforeSend: () => this.#beforeSend(job, runMs),
      onEnded: (err) => {
        job.signal.removeEventListener("abort", cancel);
        if (err !== undefined) this.#connections.discard(connection, err);
        else if (reusable) this.#connections.release(connection);
        else {
          this.#connections.discard(connection, new Error("request refused"));
        }
        this.#onEnded(job, err);
      },
    });
    const head = await job.exchange.head;
    const answeredAt = this.#clock.now();
    if (head.kind === "answered") this.#onAnswer(job, head);
    const outcome = attemptOutcome(head, this.waitMs());
    if (head.kind === "answered" && outcome.kind === "refused") {
      // Refusals do not name their request. A late second copy would be taken
      // for a refusal of the next request on the connection.
      reusable = false;
      head.body.resume();
    }
    this.#recordMetrics(outcome, answeredAt - startedAt);
    job.resolveOutcome(outcome);
  }

  /**
   * Checks lease, ownership and deadline immediately before the first byte is
   * written; returns why the request must not be sent, if so.
   */
  #beforeSend(job: DispatchJob, runMs: number): Error | undefined {
    const now = this.#clock.now();
    const { deadlineAt, digest } = job.req;
    if (!this.#leaseValid() || this.#mode === "stopped") {
      return new AttemptAbandoned("not_dispatcher");
    }
    if (digest !== undefined && this.owned.unitAccepting(digest) !== job.unit) {
      return new AttemptAbandoned("not_owner");
    }
    if (deadlineAt <= now) return new AttemptAbandoned("deadline");
    job.progress = { kind: "sent", at: now, runEndsAt: now + runMs };
    this.#timer.set(now + runMs);
    this.#condition.onSent();
    return undefined;
  }

  #onAnswer(
    job: DispatchJob,
    head: Parameters<UpstreamCondition["onAnswer"]>[0],
  ): void {
    const { progress } = job;
    if (progress.kind !== "sent") return;
    job.progress = { kind: "answered", runEndsAt: progress.runEndsAt };
    if (head.headers[HOP_HEADER.notRun] === "grant") this.#renewer?.renewNow();
    this.#condition.onAnswer(head, progress.at);
  }

  #onStateChange(): void {
    if (this.#condition.lost) this.#waiting.refuse(() => true, "silent");
    this.#checkReleases();
    this.#options.onChange();
    this.#startWaitingJobs();
  }

  /**
   * Aborts requests without an answer byte within the silence timeout if the
   * upstream answered on other connections, and closes their connections.
   */
  #abandonSilentRequests(): void {
    this.#inFlight.abandonSilent(this.#condition.silenceTimeoutMs, {
      answeredOthersSince: (sentAt) =>
        this.#condition.answeredOthersSince(sentAt),
      onAbandoned: (waitedMs) => this.#condition.estimate.add(waitedMs),
    }, this.#clock.now());
  }

  #onEnded(job: DispatchJob, err: Error | undefined): void {
    this.#inFlight.delete(job);
    const { progress } = job;
    if (err !== undefined && "runEndsAt" in progress) {
      this.#abandonedRuns.add({
        unit: job.unit,
        digest: job.req.digest,
        closedByUpstream: !(err instanceof AttemptAbandoned),
        until: progress.runEndsAt,
      });
    }
    this.#onRequestEnded();
    this.#closeWhenIdle();
  }

  #onRequestEnded(): void {
    if (this.#mode === "stopped") {
      this.#notifySuccessor();
      return;
    }
    this.#checkReleases();
    this.#startWaitingJobs();
    this.#notifySuccessor();
    if (this.drained) this.#options.onChange();
  }

  #unitsChanged(): void {
    this.#waiting.updateUnits((digest) => this.owned.unitAccepting(digest));
    this.#checkReleases();
    this.#releases.renewGrantIfChanged();
    this.#startWaitingJobs();
  }

  #checkReleases(): void {
    // A later dispatch term with the same epoch shares the list of releases and
    // completes them.
    if (this.#mode === "stopped") return;
    const { maxRunMs } = this.#options.cfg();
    const { lost } = this.#condition;
    this.#timer.set(
      this.#releases.check({ lost, maxRunMs }, this.#clock.now()),
    );
  }

  /** Handles expired timeouts and deadlines; returns when the next is due. */
  #onDue(): number {
    const now = this.#clock.now();
    this.#waiting.refuse((job) => job.req.deadlineAt <= now, "deadline");
    this.#inFlight.abandonOverdue(
      (ranMs) => this.#condition.estimate.add(ranMs),
      now,
    );
    this.#abandonSilentRequests();
    this.#checkReleases();
    if (
      this.#drainingSince !== undefined &&
      now >= this.#drainingSince + this.#options.cfg().maxRunMs
    ) {
      for (const job of this.#inFlight.withEarlierTerms()) {
        job.exchange?.abort(new AttemptAbandoned("handed_over"));
      }
    }
    const checkAt = this.#condition.onDue();
    this.#startWaitingJobs();
    return Math.min(checkAt, this.#nextDue());
  }

  #nextDue(): number {
    const now = this.#clock.now();
    const times = this.#inFlight.dueTimes(this.#condition.silenceTimeoutMs);
    times.push(...this.#waiting.deadlines());
    return Math.min(...times.filter((at) => at > now));
  }

  #recordMetrics(outcome: DispatchOutcome, ms: number): void {
    const { metrics, region, service } = this.#options;
    const tags = { service, region };
    if (outcome.kind === "response") {
      metrics.timing("dispatch.answer_ms", ms, tags);
    } else if (outcome.refusal.outcome === "outcome_unknown") {
      metrics.increment("dispatch.outcome_unknown", 1, tags);
    } else metrics.increment("dispatch.not_run", 1, tags);
  }
}
