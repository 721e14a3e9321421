import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { Metrics } from "../base/metrics.ts";
import type { Service } from "../catalogue/service.ts";
import type { ServerGrants } from "../contracts/server_grants.ts";
import type { UpstreamHealth } from "../contracts/upstream_health.ts";
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
import { DispatchQueue } from "./dispatch_queue.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import { DueTimer } from "./due_timer.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { GrantKeeper } from "./grant_keeper.ts";
import { HealthPoller } from "./health_poller.ts";
import { HotKeySketch } from "./hot_key_sketch.ts";
import { openSocket } from "./open_socket.ts";
import { OwnedUnits } from "./owned_units.ts";
import { RateMeter } from "./rate_meter.ts";
import { refused } from "./refused.ts";
import { ServiceTimeEstimate } from "./service_time_estimate.ts";
import { UpstreamConnections } from "./upstream_connections.ts";
import { UpstreamExchange } from "./upstream_exchange.ts";
import { UpstreamLiveness } from "./upstream_liveness.ts";
import { WarmUp } from "./warm_up.ts";

type State = RenewReport["upstreams"][number]["state"];

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
  /** Requests of an earlier tenure that still run at the upstream. */
  busyBefore: () => number;
  /** The report to the coordinator has changed. */
  onChange: () => void;
  /** The upstream holds a grant of a later tenure. */
  onSuperseded: () => void;
  /** The process stops: everything ends at once. */
  signal: AbortSignal;
};

type Mode =
  /** Accepts requests while the dispatch lease runs. */
  | "live"
  /** Waits for its requests to end before the tenure is handed over. */
  | "draining"
  /** The dispatch lease ended; it may come back with the same epoch. */
  | "suspended"
  /** The tenure has ended for good. */
  | "stopped";

/** Shortest silence after which the upstream itself is in doubt. */
const MIN_DOUBT_MS = 300;
/** A longer one would leave no time for recovery within 5 s. */
const MAX_DOUBT_MS = 1000;
const MIN_SILENCE_MS = 1000;
const SILENCE_PER_P99 = 4;
/**
 * Without responses that carry a state, draining and unannounced restarts show
 * only in the health; draining must take effect within 3 s.
 */
const WARM_POLL_MS = 1000;
/** The coordinator moves the units of a draining upstream meanwhile. */
const DRAINING_ACCEPT_MS = 1000;
const HOT_KEY_SHARE = 0.1;
const HOT_KEY_MIN_PER_S = 1;

/** Sends requests to one upstream during one tenure. */
export class Dispatcher {
  readonly epoch: number;
  readonly owned: OwnedUnits;
  readonly #options: Options;
  readonly #clock: Clock;
  readonly #queue = new DispatchQueue<DispatchJob>();
  readonly #running = new Set<DispatchJob>();
  readonly #warmUp: WarmUp;
  readonly #estimate: ServiceTimeEstimate;
  readonly #liveness: UpstreamLiveness;
  readonly #rate: RateMeter;
  readonly #hotKeys: HotKeySketch;
  readonly #abandoned: AbandonedRuns;
  readonly #connections: UpstreamConnections;
  readonly #poller: HealthPoller;
  readonly #keeper: GrantKeeper | undefined;
  readonly #timer: DueTimer;
  /** Ends the tasks of the tenure. */
  readonly #tenure = new AbortController();
  /** Ends connections and timers, after the last request. */
  readonly #end = new AbortController();
  #mode: Mode = "live";
  #drainingSince: number | undefined;
  /** The upstream itself says that it drains. */
  #upstreamDrainingSince: number | undefined;
  /** When the request was sent whose answer last told the state. */
  #stateAskedAt = -Infinity;
  #stateHeardAt = -Infinity;
  #checkingConnect = false;
  #reportedState: State = "cold";
  #grantedUnits = "";

  /**
   * Starts the tenure.
   *
   * @param options - the tenure, and what it depends on
   */
  constructor(options: Options) {
    this.#options = options;
    const { address, clock, grants, timing } = options;
    this.epoch = options.epoch;
    this.#clock = clock;
    this.owned = new OwnedUnits(options);
    this.#warmUp = new WarmUp(clock, options.cfg());
    this.#estimate = new ServiceTimeEstimate(clock);
    this.#liveness = new UpstreamLiveness(clock);
    this.#rate = new RateMeter(clock);
    this.#hotKeys = new HotKeySketch(clock);
    this.#abandoned = new AbandonedRuns(clock);
    this.#connections = new UpstreamConnections({
      address,
      clock,
      signal: this.#end.signal,
      onConnected: () => this.#liveness.connected(),
      onConnectFailed: () => this.#onConnectFailed(),
      onAllClosed: (reset) => this.#onAllClosed(reset),
    });
    this.#poller = new HealthPoller({
      address,
      clock,
      reports: options.reports,
      minIntervalMs: () => timing.healthPollMs,
      neededAt: () => this.#pollNeededAt(),
      onResult: (health, askedAt) => this.#onHealth(health, askedAt),
    });
    this.#keeper = grants && new GrantKeeper({
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
        this.#pump();
        options.onChange();
      },
    });
    this.#timer = new DueTimer({
      clock,
      signal: this.#end.signal,
      onDue: () => this.#onDue(),
    });
    options.signal.addEventListener("abort", this.#abort, { once: true });
    void this.#poller.run(this.#tenure.signal);
    void this.#keeper?.run(this.#tenure.signal);
  }

  /**
   * @returns requests handed to a connection and not ended
   */
  get inFlight(): number {
    return this.#running.size;
  }

  /**
   * @returns whether requests are accepted
   */
  get accepting(): boolean {
    return this.#mode === "live" && this.#leaseRuns();
  }

  /**
   * @returns whether the tenure is being handed over
   */
  get draining(): boolean {
    return this.#mode === "draining";
  }

  /**
   * @returns whether the tenure is handed over and its last request has ended
   */
  get drained(): boolean {
    return this.#mode === "draining" && this.#running.size === 0;
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
    const refusal = this.#refuseNow(req, signal);
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
    this.#queue.push(job);
    this.#pump();
    if (
      job.progress.kind === "queued" &&
      this.#queue.size > this.#options.cfg().queue
    ) {
      this.#queue.removeAll((other) => other === job);
      return Promise.resolve(refused(
        "queue_full",
        "not_run",
        "too many requests wait for the upstream",
        { waitMs: this.waitMs() },
      ));
    }
    if (job.progress.kind === "queued") {
      this.#timer.set(req.deadlineAt);
      const cancel = () => {
        if (job.progress.kind !== "queued") return;
        this.#refuseQueued((other) => other === job, "cancelled");
      };
      signal.addEventListener("abort", cancel, { once: true });
      void job.outcome.then(() => {
        signal.removeEventListener("abort", cancel);
      });
    }
    return job.outcome;
  }

  /**
   * @returns milliseconds until a request that arrived now would be answered
   */
  waitMs(): number {
    const waiting = this.#running.size + this.#queue.size;
    const ms = ServiceTimeEstimate.waitMs(
      waiting,
      this.#slots(),
      this.#serviceMs(),
    );
    if (!this.#isCold()) return ms;
    const startsIn = this.#warmUp.nextStartAt(this.#estimate.median()) -
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
      state: this.#state(),
      inFlight: this.#running.size,
      queued: this.#queue.size,
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
    return this.owned.releases().flatMap(({ unit, drained }) => {
      if (!drained) return [];
      if (this.#keeper !== undefined && !this.#keeper.triedWithout(unit)) {
        return [];
      }
      this.owned.markReported(unit);
      return [{ service, upstream, unit, readyInMs: this.#readyInMs(unit) }];
    });
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
    this.#warmUp.update(this.#options.cfg());
    this.owned.rowChanged();
    this.#unitsChanged();
  }

  /** Stops sending, because the dispatch lease has ended. */
  suspend(): void {
    if (this.#mode === "stopped") return;
    this.#mode = "suspended";
    this.#refuseQueued(() => true, "not_dispatcher");
  }

  /** Accepts requests again, with the same epoch. */
  resume(): void {
    if (this.#mode === "stopped") return;
    this.#mode = "live";
    this.#drainingSince = undefined;
    this.#poller.reconsider();
    this.#keeper?.changed();
    this.#pump();
  }

  /** Accepts nothing more and waits for the requests in flight. */
  drain(): void {
    if (this.#mode === "draining" || this.#mode === "stopped") return;
    this.#mode = "draining";
    this.#drainingSince = this.#clock.now();
    this.#refuseQueued(() => true, "not_dispatcher");
    this.#timer.set(this.#drainingSince + this.#options.cfg().maxRunMs);
  }

  /** Ends the tenure; requests in flight may end. */
  stop(): void {
    if (this.#mode === "stopped") return;
    this.#mode = "stopped";
    this.#refuseQueued(() => true, "not_dispatcher");
    this.#tenure.abort();
    this.#endWhenIdle();
  }

  readonly #abort = (): void => {
    this.stop();
    for (const job of this.#running) {
      job.exchange?.abandon(new AttemptAbandoned("stopped"));
    }
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

  #isCold(): boolean {
    return this.#warmUp.isCold(this.#estimate.median());
  }

  #state(): State {
    if (this.#liveness.lost) return "lost";
    if (this.#upstreamDrainingSince !== undefined) return "draining";
    return this.#isCold() ? "cold" : "warm";
  }

  /**
   * The median lags while requests are stuck: if even the youngest of a full
   * set of slots has waited longer, that is the better estimate.
   */
  #serviceMs(): number {
    const median = this.#estimate.median();
    const now = this.#clock.now();
    let stuck = Infinity;
    for (const { progress } of this.#running) {
      stuck = Math.min(stuck, progress.kind === "sent" ? now - progress.at : 0);
    }
    return this.#running.size < this.#slots() ? median : Math.max(
      median,
      stuck,
    );
  }

  #refuseNow(
    req: DispatchRequest,
    signal: AbortSignal,
  ): DispatchOutcome | undefined {
    const now = this.#clock.now();
    if (!this.accepting) {
      return refused(
        "not_dispatcher",
        "not_run",
        "this router is not the dispatcher of the upstream",
      );
    }
    if (signal.aborted) {
      return refused("upstream_unavailable", "not_run", "the caller went away");
    }
    if (req.deadlineAt <= now) {
      return refused(
        "deadline_exceeded",
        "not_run",
        "the time of the request is over",
      );
    }
    if (this.#liveness.lost) {
      return refused(
        "upstream_unavailable",
        "not_run",
        "the upstream does not answer",
      );
    }
    const since = this.#upstreamDrainingSince;
    if (since !== undefined && now - since >= DRAINING_ACCEPT_MS) {
      return refused("draining", "not_run", "the upstream is draining");
    }
    return undefined;
  }

  #refuseQueued(
    matches: (job: DispatchJob) => boolean,
    reason: AttemptAbandoned["reason"],
  ): void {
    const err = new AttemptAbandoned(reason);
    for (const job of this.#queue.removeAll(matches)) {
      job.settle(attemptOutcome({ kind: "not_sent", err }, 0));
    }
  }

  /** Starts as many waiting requests as the limits allow. */
  #pump(): void {
    if (this.#mode !== "live" || this.#queue.size === 0) return;
    if (!this.#leaseRuns()) {
      this.#refuseQueued(() => true, "not_dispatcher");
      return;
    }
    while (this.#queue.size > 0 && this.#mayStart()) {
      const job = this.#queue.take((item) =>
        item.unit === undefined || this.#keeper?.holds(item.unit) !== false
      );
      if (job === undefined) return;
      void this.#run(job);
    }
  }

  #mayStart(): boolean {
    const median = this.#estimate.median();
    const running = this.#running.size + this.#options.busyBefore();
    if (running >= this.#slots()) return false;
    if (!this.#warmUp.isCold(median)) return true;
    // A request that was given up may still use a cold upstream.
    const used = running + this.#abandoned.count();
    if (used >= this.#warmUp.concurrency(median)) {
      this.#timer.set(this.#abandoned.nextEndAt());
      return false;
    }
    const startAt = this.#warmUp.nextStartAt(median);
    if (startAt > this.#clock.now()) {
      this.#timer.set(startAt);
      return false;
    }
    return true;
  }

  async #run(job: DispatchJob): Promise<void> {
    const { connections, maxRunMs } = this.#options.cfg();
    const { req } = job;
    const startedAt = this.#clock.now();
    job.progress = { kind: "connecting" };
    this.#running.add(job);
    this.#warmUp.started();
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
      headers: this.#requestHeaders(job, runMs),
      beforeSend: () => this.#beforeSend(job, runMs),
      onEnded: (err) => {
        job.signal.removeEventListener("abort", cancel);
        if (err === undefined) this.#connections.release(connection);
        else this.#connections.discard(connection, err);
        this.#onEnded(job, err === undefined);
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

  #requestHeaders(
    job: DispatchJob,
    runMs: number,
  ): Record<string, string | string[]> {
    const headers = endToEndHeaders(job.req.headers);
    // undici sends no request that expects an interim response.
    delete headers.expect;
    headers[HOP_HEADER.requestId] = job.req.requestId;
    headers[HOP_HEADER.epoch] = String(this.epoch);
    headers[HOP_HEADER.deadlineMs] = String(runMs);
    if (job.unit !== undefined) headers[HOP_HEADER.unit] = job.unit;
    return headers;
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
    this.#timer.set(Math.min(now + MIN_DOUBT_MS, now + runMs));
    return undefined;
  }

  #onAnswer(
    job: DispatchJob,
    head: { status: number; headers: Record<string, unknown> },
  ): void {
    const { progress } = job;
    if (progress.kind !== "sent") return;
    const now = this.#clock.now();
    job.progress = { kind: "answered", runEndsAt: progress.runEndsAt };
    this.#answered();
    const notRun = head.headers[HOP_HEADER.notRun];
    const state = stateOf(head.headers[HOP_HEADER.state]) ??
      (notRun === "draining" ? "draining" : undefined);
    const boot = head.headers[HOP_HEADER.boot];
    if (notRun === "shed") this.#warmUp.becameCold();
    if (notRun === "grant") this.#keeper?.changed();
    if (notRun === undefined) this.#estimate.add(now - progress.at);
    this.#heard({
      state,
      boot: typeof boot === "string" ? boot : undefined,
      askedAt: progress.at,
    });
  }

  #heard(report: Parameters<WarmUp["heard"]>[0]): void {
    const wasCold = this.#isCold();
    this.#warmUp.heard(report);
    if (this.#isCold() && !wasCold) this.#keeper?.forgetClock();
    if (report.state !== undefined && report.askedAt >= this.#stateAskedAt) {
      this.#stateAskedAt = report.askedAt;
      this.#stateHeardAt = this.#clock.now();
      if (report.state !== "draining") this.#upstreamDrainingSince = undefined;
      else this.#upstreamDrainingSince ??= this.#clock.now();
    }
    this.#stateMayHaveChanged();
  }

  #onHealth(health: UpstreamHealth | undefined, askedAt: number): void {
    if (health === undefined) {
      this.#liveness.probeFailed(askedAt, this.#unansweredSince());
      if (this.#unansweredSince() === undefined) void this.#checkConnect();
      this.#stateMayHaveChanged();
      return;
    }
    this.#answered();
    this.#heard({ state: health.state, boot: health.boot, askedAt });
    this.#pump();
  }

  #answered(): void {
    this.#liveness.answered();
    this.#giveUpSilent();
  }

  #onConnectFailed(): void {
    this.#liveness.connectFailed();
    const retryAt = this.#liveness.retryConnectAt;
    if (retryAt !== undefined) this.#timer.set(retryAt);
    this.#stateMayHaveChanged();
  }

  /** Decides by a bare connection whether the upstream is lost. */
  async #checkConnect(): Promise<void> {
    if (this.#checkingConnect || !this.accepting) return;
    this.#checkingConnect = true;
    const { address } = this.#options;
    const err = await new Promise<Error | undefined>((resolve) => {
      const socket = openSocket(address, this.#clock, resolve);
      const close = () => {
        socket.destroy();
        resolve(undefined);
      };
      this.#end.signal.addEventListener("abort", close, { once: true });
      socket.once("close", () => {
        this.#end.signal.removeEventListener("abort", close);
      });
      socket.once("connect", () => socket.destroy());
    });
    this.#checkingConnect = false;
    if (this.#end.signal.aborted) return;
    if (err === undefined) this.#liveness.connected();
    else this.#onConnectFailed();
  }

  #onAllClosed(reset: boolean): void {
    if (reset) {
      this.#warmUp.becameCold();
      this.#keeper?.forgetClock();
    }
    this.#stateHeardAt = -Infinity;
    this.#stateMayHaveChanged();
  }

  #stateMayHaveChanged(): void {
    const state = this.#state();
    this.#poller.reconsider();
    if (state === this.#reportedState) return;
    const { logger, service, upstream } = this.#options;
    logger.info(
      { service, upstream, from: this.#reportedState, to: state },
      "the state of the upstream changed",
    );
    this.#reportedState = state;
    if (state === "lost") {
      this.#warmUp.becameCold();
      const err = new AttemptAbandoned("silent");
      for (const job of this.#queue.removeAll(() => true)) {
        job.settle(attemptOutcome({ kind: "not_sent", err }, 0));
      }
    }
    this.#checkReleases();
    this.#options.onChange();
  }

  #pollNeededAt(): number {
    if (this.#mode !== "live" || !this.#leaseRuns()) return Infinity;
    const { healthPollMs } = this.#options.timing;
    const often = this.#liveness.lost || this.#isCold();
    const regular = this.#stateHeardAt + (often ? healthPollMs : WARM_POLL_MS);
    const since = this.#unansweredSince();
    if (since === undefined) return regular;
    const silentSince = Math.max(since, this.#liveness.lastAnswerAt);
    return Math.min(regular, silentSince + this.#doubtMs());
  }

  #doubtMs(): number {
    const usual = 2 * this.#estimate.p99();
    return Math.min(MAX_DOUBT_MS, Math.max(MIN_DOUBT_MS, usual));
  }

  #silenceMs(): number {
    return Math.max(MIN_SILENCE_MS, SILENCE_PER_P99 * this.#estimate.p99());
  }

  /** When the oldest request without an answer byte was sent. */
  #unansweredSince(): number | undefined {
    let oldest: number | undefined;
    for (const { progress } of this.#running) {
      if (progress.kind !== "sent") continue;
      oldest = Math.min(oldest ?? Infinity, progress.at);
    }
    return oldest;
  }

  /** Closes connections that are silent while the upstream answers others. */
  #giveUpSilent(): void {
    const now = this.#clock.now();
    const silenceMs = this.#silenceMs();
    for (const job of this.#running) {
      const { progress } = job;
      if (progress.kind !== "sent" || now - progress.at < silenceMs) continue;
      const others = this.#liveness.lastAnswerAt;
      if (others < progress.at + MIN_DOUBT_MS) continue;
      this.#estimate.add(now - progress.at);
      job.exchange?.abandon(new AttemptAbandoned("silent"));
    }
  }

  #onEnded(job: DispatchJob, clean: boolean): void {
    this.#running.delete(job);
    const { progress } = job;
    if (!clean && "runEndsAt" in progress) {
      this.#abandoned.add({
        unit: job.unit,
        digest: job.req.digest,
        until: progress.runEndsAt,
      });
    }
    this.#checkReleases();
    this.#pump();
    if (this.drained) this.#options.onChange();
    this.#endWhenIdle();
  }

  #unitsChanged(): void {
    for (const job of this.#queue.items()) {
      if (job.req.digest === undefined) continue;
      job.unit = this.owned.accepts(job.req.digest);
    }
    this.#refuseQueued(
      (job) => job.req.digest !== undefined && job.unit === undefined,
      "not_owner",
    );
    this.#checkReleases();
    this.#regrant();
    this.#pump();
  }

  #regrant(): void {
    if (this.#keeper === undefined) return;
    const units = this.owned.granted().join();
    if (units === this.#grantedUnits) return;
    this.#grantedUnits = units;
    this.#keeper.changed();
  }

  /** Marks releases as drained, and cuts what has taken too long. */
  #checkReleases(): void {
    const now = this.#clock.now();
    const { maxRunMs } = this.#options.cfg();
    let drained = false;
    for (const release of this.owned.releases()) {
      if (release.drained) continue;
      const jobs = [...this.#running].filter((job) =>
        job.concerns(release.unit)
      );
      if (jobs.length === 0) {
        this.owned.markDrained(release.unit);
        drained = true;
      } else if (this.#liveness.lost || now >= release.since + maxRunMs) {
        for (const job of jobs) {
          job.exchange?.abandon(new AttemptAbandoned("handed_over"));
        }
      } else this.#timer.set(release.since + maxRunMs);
    }
    if (!drained) return;
    this.#regrant();
    this.#options.onChange();
  }

  /** Time until nothing at the upstream can serve a released unit any more. */
  #readyInMs(unit: Unit): number {
    const granted = this.#keeper?.remainingMs(unit) ?? 0;
    // An upstream that checks grants checks again before a request takes
    // effect. That does not help with a key that leaves a shard, because the
    // requests name the shard, which stays granted.
    const running = this.#abandoned.remainingMs((run) =>
      run.unit === unit
        ? this.#keeper === undefined
        : `pin:${run.digest}` === unit
    );
    return Math.max(granted, running);
  }

  /** Handles everything whose time has come; returns the next time. */
  #onDue(): number {
    const now = this.#clock.now();
    this.#refuseQueued((job) => job.req.deadlineAt <= now, "deadline");
    for (const job of this.#running) {
      if (job.req.deadlineAt <= now) {
        job.exchange?.abandon(new AttemptAbandoned("deadline"));
      } else if (
        job.progress.kind === "sent" && job.progress.runEndsAt <= now
      ) {
        this.#estimate.add(now - job.progress.at);
        job.exchange?.abandon(new AttemptAbandoned("run_limit"));
      }
    }
    this.#giveUpSilent();
    this.#checkReleases();
    if (
      this.#drainingSince !== undefined &&
      now >= this.#drainingSince + this.#options.cfg().maxRunMs
    ) {
      for (const job of this.#running) {
        job.exchange?.abandon(new AttemptAbandoned("handed_over"));
      }
    }
    const retryAt = this.#liveness.retryConnectAt;
    if (retryAt !== undefined && retryAt <= now) void this.#checkConnect();
    this.#poller.reconsider();
    this.#pump();
    return this.#nextDue();
  }

  #nextDue(): number {
    const now = this.#clock.now();
    const times: number[] = [];
    for (const job of this.#queue.items()) times.push(job.req.deadlineAt);
    for (const { progress, req } of this.#running) {
      times.push(req.deadlineAt);
      if (progress.kind !== "sent") continue;
      times.push(progress.runEndsAt, progress.at + this.#silenceMs());
    }
    const retryAt = this.#liveness.retryConnectAt;
    if (retryAt !== undefined) times.push(retryAt);
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

function stateOf(value: unknown): "cold" | "warm" | "draining" | undefined {
  return value === "cold" || value === "warm" || value === "draining"
    ? value
    : undefined;
}
