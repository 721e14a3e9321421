import type { Clock } from "../base/clock.ts";
import type { DomainBalance } from "../balance/domain_balance.ts";
import type { Logger } from "../base/logger.ts";
import type { RefusalCode } from "../base/refusal_code.ts";
import type { FleetRetryBudget } from "../limits/fleet_retry_budget.ts";
import type { TenantLimiter } from "../limits/tenant_limiter.ts";
import type { Tenant } from "../tenants/tenant.ts";
import { waitForChange } from "../vms/wait_for_change.ts";
import type { AttemptResult } from "./attempt_result.ts";
import type { CallState } from "./call_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import type { CallerCall } from "./caller_call.ts";
import type { Choice } from "./choice.ts";
import { chooseUpstream } from "./choose_upstream.ts";
import type { DirectMetrics } from "./direct_metrics.ts";
import type { FleetView } from "./fleet_view.ts";
import { judgeResult } from "./judge_result.ts";
import { RouteSplitter } from "./route_splitter.ts";
import type { Upstream } from "./upstream.ts";
import { UpstreamSender } from "./upstream_sender.ts";
import type { WireProtocol } from "./wire_protocol.ts";
import type { WorkTimes } from "./work_times.ts";

type Options = {
  view: FleetView;
  work: WorkTimes;
  protocol: WireProtocol;
  budget: FleetRetryBudget;
  clock: Clock;
  logger: Logger;
  metrics: DirectMetrics;
  location: { vm: string; failureDomain: string; region: string };
  /** Loads of failure domains; without it, they are not balanced. */
  balance?: DomainBalance;
  /**
   * Called for each request with a key for a keyed service.
   *
   * @param service - name of the service
   * @param key - number of the key
   */
  countKey: (service: string, key: number) => void;
  /**
   * Called when this VM's record of key owners may be stale: the recorded owner
   * of a request's key answered that the request is misdirected, or the key has
   * no owner that can serve it at present.
   */
  onStaleOwnership: () => void;
  /**
   * @returns milliseconds since the configuration was last known to be current
   */
  configAgeMs: () => number;
  /**
   * @returns milliseconds since the registry was last known to be current
   */
  registryAgeMs: () => number;
  /** Rate limits of tenants; by default there are none. */
  limiter?: TenantLimiter;
};
/** What of a request is known before its body is read. */
type CallHead = Pick<
  CallerCall,
  "requestId" | "host" | "target" | "credential"
>;

/**
 * Attempts of one request that may fail before anything is sent. A failed
 * connection is cheap to replace, but the retries must end.
 */
const MAX_UNSENT_ATTEMPTS = 3;
/**
 * Answers with status 421 that one request may get, e.g. while its key is being
 * reassigned. Also the number of times that one request may wait for its key or
 * for a cold upstream.
 */
const MAX_MISDIRECTED_ATTEMPTS = 3;
/**
 * Longest delay before a misdirected request with a key is sent again. A change
 * of the view, such as newly read key owners, ends the delay earlier.
 */
const MISDIRECTED_RETRY_DELAY_MS = 120;
/**
 * Longest delay before the owner of a key that rejected a connection is tried
 * again. Its requests take 100 to 500 ms; as they end, it accepts connections
 * again.
 */
const CONNECTION_REJECTED_RETRY_DELAY_MS = 60;
/** A request is retried only if more than this remains until its deadline. */
const MIN_RETRY_REMAINING_MS = 30;
/**
 * A request is hedged, i.e. also sent to a second upstream, after this fraction
 * of the latency objective, but not before `HEDGE_EXPECTED_FACTOR` times the
 * expected time.
 */
const HEDGE_OBJECTIVE_FRACTION = 0.55;
const HEDGE_EXPECTED_FACTOR = 2.5;
/** Time after the start during which requests wait for the first reads. */
const STARTUP_PERIOD_MS = 3000;
/**
 * Longest wait of one request for what the router reads at its start. Also the
 * retry delay for callers that are refused because it has not been read.
 */
const MAX_STARTUP_WAIT_MS = 400;
/** The operators have to write another configuration first. */
const UNUSABLE_ROUTE_RETRY_AFTER_MS = 5000;
/**
 * A request that arrives while the router stops is refused if this many times
 * its mean run time is longer than the remaining time.
 */
const STOP_WORK_FACTOR = 2;
/** Retry delay for refused callers if the refusal itself gives none. */
const DEFAULT_RETRY_AFTER_MS = 250;
const NO_LIMITS: TenantLimiter = { admit: () => ({ kind: "admitted" }) };

/**
 * Routes callers' requests directly to upstreams: chooses an upstream for each
 * attempt, retries where that is safe, and ends each request at its deadline.
 */
export class DirectRouter {
  readonly #opts: Options;
  readonly #splitter = new RouteSplitter();
  readonly #sender: UpstreamSender;
  readonly #startedAt: number;
  /** Monotonic milliseconds by which all requests must have ended. */
  #stopsAt = Infinity;

  /**
   * @param opts - view of the deployment, protocol, limits and callbacks
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.#sender = new UpstreamSender(opts);
    this.#startedAt = opts.clock.now();
  }

  /**
   * @param host - value of the Host header
   * @param target - path and query
   * @returns the timeout of the request's route in milliseconds; undefined if
   * no route matches
   */
  timeoutMs(host: string | undefined, target: string): number | undefined {
    const match = this.#opts.view.matcher.match(host, target);
    return match.kind === "route" ? match.route.timeoutMs : undefined;
  }

  /**
   * Checks the API key of a request, and counts the request against the rate
   * limit of its tenant. To be called before the body is read. A request that
   * arrives before the first configuration is checked by `handle`.
   *
   * @param head - the request without its body
   * @returns the refusal; undefined if the request may be passed to `handle`
   */
  async admit(head: CallHead): Promise<CallOutcome | undefined> {
    const { view } = this.#opts;
    if (view.config === undefined) return undefined;
    const { host, target, credential } = head;
    const selection = view.snapshot.select(host, target, credential);
    switch (selection.kind) {
      case "unknown_credential":
        return this.#refuseCredential(head);
      case "route":
        return selection.tenant && this.#admitTenant(head, selection.tenant);
      case "none":
      case "unusable":
      case "no_region":
        return undefined;
    }
  }

  /**
   * Refuses requests from now on that will probably not end in time.
   *
   * @param ms - time until the router stops, in milliseconds
   */
  stopWithin(ms: number): void {
    this.#stopsAt = this.#opts.clock.now() + ms;
  }

  /**
   * Serves one request and records its outcome.
   *
   * @param call - a caller's request
   * @param disconnected - aborts when the caller disconnects or sends its end;
   * nothing is sent to an upstream after that
   * @param closed - aborts when the caller can no longer be answered
   * @returns the answer or the refusal for the caller
   */
  async handle(
    call: CallerCall,
    disconnected: AbortSignal,
    closed = disconnected,
  ): Promise<CallOutcome> {
    const { view, clock, budget } = this.#opts;
    if (!view.complete) await this.#waitForStart(call, disconnected);
    const { config } = view;
    if (config === undefined) {
      return this.#refuseUnrouted(
        call,
        "router_not_current",
        "no configuration yet",
        MAX_STARTUP_WAIT_MS,
      );
    }
    const match = view.snapshot.select(
      call.host,
      call.target,
      call.credential,
    );
    switch (match.kind) {
      case "none":
        return this.#refuseUnrouted(call, "unknown_entry", "no route matches");
      case "unusable":
        return this.#refuseUnrouted(
          call,
          "upstream_unavailable",
          "the configuration of the route cannot be used",
          UNUSABLE_ROUTE_RETRY_AFTER_MS,
        );
      case "unknown_credential":
        return this.#refuseCredential(call);
      case "no_region":
        return this.#refuseUnrouted(
          call,
          "upstream_unavailable",
          "no region is allowed to both the route and the tenant",
          UNUSABLE_ROUTE_RETRY_AFTER_MS,
          match.tenant,
        );
      case "route":
        break;
    }
    const { route, tenant } = match;
    // The configuration may have changed since the request was admitted.
    if (tenant !== undefined) {
      const refused = await this.#admitTenant(call, tenant);
      if (refused !== undefined) return refused;
    }
    const service = this.#splitter.next(route);
    const keyed = view.policy(service)?.keyed ?? false;
    if (keyed && call.key !== undefined) this.#opts.countKey(service, call.key);
    budget.onRequest(service);
    this.#opts.balance?.onRequest(service);
    const limitMs = Math.min(call.deadlineMs ?? Infinity, route.timeoutMs);
    const likelyMs = Math.min(
      limitMs,
      STOP_WORK_FACTOR * this.#opts.work.mean(route),
    );
    if (clock.now() + likelyMs > this.#stopsAt) {
      return this.#refuseUnrouted(
        call,
        "draining",
        "the router stops before the request could end",
        0,
        tenant,
      );
    }
    const state: CallState = {
      call: tenant === undefined ? call : { ...call, tenant },
      route,
      service,
      keyed,
      config: config.version,
      configAgeMs: this.#configAgeMs(),
      deadlineAt: call.receivedAt + limitMs,
      tried: new Set(),
      sentOn: new Set(),
      sends: 0,
      unsentAttempts: 0,
      mayHaveRun: false,
      failure: undefined,
      steps: [],
    };
    const outcome = await this.#serve(state, disconnected, closed);
    this.#recordOutcome(state, outcome, clock.now() - call.receivedAt);
    return outcome;
  }

  /**
   * Waits until a router that has just started has read the configuration, the
   * registry and the key owners. Refusing without the wait would cost callers
   * one of their few retries.
   */
  async #waitForStart(
    call: CallerCall,
    disconnected: AbortSignal,
  ): Promise<void> {
    const { view, clock } = this.#opts;
    const until = Math.min(
      this.#startedAt + STARTUP_PERIOD_MS,
      call.receivedAt + MAX_STARTUP_WAIT_MS,
    );
    while (!view.complete && !disconnected.aborted && clock.now() < until) {
      await waitForChange({
        clock,
        ms: until - clock.now(),
        notifiers: [view.changed],
      }, disconnected);
    }
  }

  async #serve(
    state: CallState,
    disconnected: AbortSignal,
    closed: AbortSignal,
  ): Promise<CallOutcome> {
    const { clock } = this.#opts;
    let misdirected = 0;
    const isDisconnected = () => disconnected.aborted;
    // A caller that has sent its end may still read. A non-idempotent request
    // in flight is not aborted, so its answer is sent to such a caller.
    const mayBeAnswered = () =>
      state.route.idempotent ? !disconnected.aborted : !closed.aborted;
    for (;;) {
      if (isDisconnected()) {
        return state.sends > 0 && mayBeAnswered()
          ? this.#fail(state, "overloaded", "the caller has sent its end")
          : { kind: "gone" };
      }
      if (clock.now() >= state.deadlineAt) return this.#endAtDeadline(state);
      const choice = this.#choose(state);
      if (state.keyed && mayBeStale(choice)) this.#opts.onStaleOwnership();
      switch (choice.kind) {
        case "refuse":
          return this.#refuse(state, choice);
        case "wait":
          state.steps.push(`wait: ${choice.reason}`);
          if (!await this.#waitForChoice(state, choice.ms, disconnected)) {
            return this.#refuse(state, {
              kind: "refuse",
              code: "not_owner",
              reason: choice.reason,
              retryAfterMs: choice.ms,
            });
          }
          continue;
        case "send":
          break;
      }
      const { upstream, result } = await this.#send(
        state,
        choice,
        disconnected,
      );
      if (!mayBeAnswered()) return { kind: "gone" };
      const verdict = judgeResult(result);
      state.steps.push(`${upstream.entry.id}: ${verdict.text}`);
      switch (verdict.kind) {
        case "deliver":
          return this.#deliver(verdict.result);
        case "not_sent":
          state.unsentAttempts++;
          if (
            state.unsentAttempts > MAX_UNSENT_ATTEMPTS ||
            (state.keyed && verdict.cause === "no_connection")
          ) return this.#fail(state, "upstream_unavailable", verdict.text);
          if (state.keyed) {
            state.tried.delete(upstream);
            if (verdict.cause === "connection_rejected") {
              await this.#waitForChange(
                state,
                CONNECTION_REJECTED_RETRY_DELAY_MS,
                disconnected,
              );
            }
          }
          break;
        case "misdirected":
          misdirected++;
          if (
            misdirected > MAX_MISDIRECTED_ATTEMPTS || !this.#takeRetry(state)
          ) {
            return this.#fail(state, "not_owner", verdict.text);
          }
          if (state.keyed) {
            this.#opts.onStaleOwnership();
            state.tried.delete(upstream);
            await this.#waitForChange(
              state,
              MISDIRECTED_RETRY_DELAY_MS,
              disconnected,
            );
          }
          break;
        case "rejected":
          if (state.keyed || !this.#takeRetry(state)) {
            return this.#fail(
              state,
              "overloaded",
              verdict.text,
              state.keyed
                ? Math.max(
                  DEFAULT_RETRY_AFTER_MS,
                  upstream.pauseMs(clock.now()),
                )
                : undefined,
            );
          }
          break;
        case "failed":
          state.mayHaveRun = true;
          state.failure = verdict.result ?? state.failure;
          if (!state.route.idempotent || !this.#takeRetry(state)) {
            return this.#fail(state, "upstream_failed", verdict.text);
          }
          if (state.keyed) state.tried.delete(upstream);
          break;
      }
    }
  }

  #choose(state: CallState): Choice {
    const { view, clock, location } = this.#opts;
    const now = clock.now();
    const { tenant, credential } = state.call;
    if (tenant !== undefined && !view.snapshot.accepts(credential)) {
      return {
        kind: "refuse",
        code: "unknown_credential",
        reason: "the API key has been removed",
        retryAfterMs: 0,
      };
    }
    return chooseUpstream({
      view,
      route: state.route,
      service: state.service,
      key: state.call.key,
      tried: state.tried,
      location,
      workMs: this.#opts.work.mean(state.route),
      remainingMs: state.deadlineAt - now,
      now,
      balancer: this.#opts.balance?.balancer,
    });
  }

  /**
   * Returns whether the request may be sent once more, and if so takes a retry
   * from the budget.
   */
  #takeRetry(state: CallState): boolean {
    const { clock, budget } = this.#opts;
    return state.sends < state.route.maxUpstreams + MAX_MISDIRECTED_ATTEMPTS &&
      state.tried.size < state.route.maxUpstreams &&
      state.deadlineAt - clock.now() > MIN_RETRY_REMAINING_MS &&
      budget.take(state.service);
  }

  /**
   * Waits until another choice is possible, at most `ms`. In a large deployment,
   * the view changes many times a second for other reasons. Returns false
   * without waiting if too little time remains or the request has waited too
   * often.
   */
  async #waitForChoice(
    state: CallState,
    ms: number,
    disconnected: AbortSignal,
  ): Promise<boolean> {
    const { clock } = this.#opts;
    const until = clock.now() + ms;
    while (
      await this.#waitForChange(state, until - clock.now(), disconnected)
    ) {
      if (disconnected.aborted || clock.now() >= until) return true;
      const choice = this.#choose(state);
      if (choice.kind !== "wait") return true;
      if (state.keyed) this.#opts.onStaleOwnership();
    }
    return false;
  }

  /**
   * Waits until the view changes, at most `ms`. Returns false without waiting
   * if too little time remains or the request has waited too often.
   */
  async #waitForChange(
    state: CallState,
    ms: number,
    disconnected: AbortSignal,
  ): Promise<boolean> {
    const { clock, view } = this.#opts;
    const remainingMs = state.deadlineAt - clock.now();
    const waits = state.steps.filter((step) => step.startsWith("wait")).length;
    if (
      remainingMs < MIN_RETRY_REMAINING_MS || waits > MAX_MISDIRECTED_ATTEMPTS
    ) return false;
    await waitForChange({
      clock,
      ms: Math.min(ms, remainingMs),
      notifiers: [view.changed],
    }, disconnected);
    return true;
  }

  /**
   * Sends to the chosen upstream. An idempotent request to a service that is
   * not keyed is hedged: if the answer takes far longer than expected, the
   * request is also sent to a second upstream. Returns the first result if it
   * can be delivered, and the later one otherwise.
   */
  async #send(
    state: CallState,
    choice: Extract<Choice, { kind: "send" }>,
    disconnected: AbortSignal,
  ): Promise<{ upstream: Upstream; result: AttemptResult }> {
    const { clock } = this.#opts;
    const first = this.#sender.send(state, choice.upstream, disconnected);
    const { route, keyed } = state;
    if (!route.idempotent || keyed) return first;
    const hedgeMs = Math.max(
      HEDGE_EXPECTED_FACTOR * choice.expectedMs,
      HEDGE_OBJECTIVE_FRACTION * route.objectiveMs,
    );
    const answered = new AbortController();
    const result = await Promise.race([
      first,
      clock.sleep(hedgeMs, answered.signal).then(() => undefined),
    ]);
    answered.abort();
    if (result !== undefined || disconnected.aborted) return result ?? first;
    const second = this.#choose(state);
    if (second.kind !== "send" || !this.#takeRetry(state)) return first;
    state.steps.push("hedge: second upstream");
    const other = this.#sender.send(state, second.upstream, disconnected);
    const winner = await Promise.race([first, other]);
    const { kind } = judgeResult(winner.result);
    if (kind === "deliver") return winner;
    return winner === await first ? other : first;
  }

  #deliver(
    result: Extract<AttemptResult, { kind: "answered" }>,
  ): CallOutcome {
    const headers = this.#opts.protocol.callerHeaders(result.headers);
    return {
      kind: "answered",
      status: result.status,
      headers,
      body: result.body,
      framed: result.framed,
    };
  }

  #endAtDeadline(state: CallState): CallOutcome {
    return state.mayHaveRun
      ? this.#fail(state, "deadline_exceeded", "no time is left")
      : this.#fail(state, "overloaded", "no time is left");
  }

  #refuse(
    state: CallState,
    choice: Extract<Choice, { kind: "refuse" }>,
  ): CallOutcome {
    return this.#fail(state, choice.code, choice.reason, choice.retryAfterMs);
  }

  /**
   * Ends a request for which there is no successful answer: delivers an
   * upstream's failed answer if there was one, and refuses the request
   * otherwise.
   */
  #fail(
    state: CallState,
    codeIfNotRun: RefusalCode,
    message: string,
    retryAfterMs?: number,
  ): CallOutcome {
    if (state.failure !== undefined) return this.#deliver(state.failure);
    const pastDeadline = this.#opts.clock.now() >= state.deadlineAt;
    const code = !state.mayHaveRun
      ? codeIfNotRun
      : pastDeadline
      ? "deadline_exceeded"
      : "upstream_failed";
    state.steps.push(`${code}: ${message}`);
    return {
      kind: "refused",
      refusal: {
        code,
        outcome: state.mayHaveRun ? "outcome_unknown" : "not_run",
        message,
      },
      retryAfterMs: state.mayHaveRun || code === "unknown_credential"
        ? undefined
        : retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
    };
  }

  #refuseCredential(head: CallHead): CallOutcome {
    return this.#refuseUnrouted(
      head,
      "unknown_credential",
      "the route requires one valid API key",
    );
  }

  /**
   * Counts a request against the rate limit of its tenant, unless that has
   * already been done. Returns the refusal if the limit is reached.
   */
  async #admitTenant(
    head: CallHead,
    tenant: Tenant,
  ): Promise<CallOutcome | undefined> {
    const { credential } = head;
    if (credential?.admittedTenant === tenant.name) return undefined;
    const { limiter = NO_LIMITS } = this.#opts;
    const admission = await limiter.admit(tenant);
    switch (admission.kind) {
      case "admitted":
        if (credential !== undefined) credential.admittedTenant = tenant.name;
        return undefined;
      case "limited":
        return this.#refuseUnrouted(
          head,
          "limit_exceeded",
          "the rate limit of the tenant is reached",
          Math.ceil(admission.retryAfterMs),
          tenant,
        );
    }
  }

  #refuseUnrouted(
    call: CallHead,
    code: RefusalCode,
    message: string,
    retryAfterMs?: number,
    tenant?: Tenant,
  ): CallOutcome {
    const { logger, metrics, view } = this.#opts;
    metrics.requests.inc({ service: "", outcome: code });
    logger.info({
      reqId: call.requestId,
      tenant: tenant?.name,
      outcome: code,
      config: view.config?.version,
      configAgeMs: this.#configAgeMs(),
    }, "request refused");
    return {
      kind: "refused",
      refusal: { code, outcome: "not_run", message },
      retryAfterMs,
    };
  }

  /** Returns the age of the configuration, undefined before the first one. */
  #configAgeMs(): number | undefined {
    const ageMs = this.#opts.configAgeMs();
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
  }

  #recordOutcome(state: CallState, outcome: CallOutcome, ms: number): void {
    const { logger, metrics, view } = this.#opts;
    const { service, route, call, steps, sends } = state;
    const result = outcome.kind === "answered"
      ? String(outcome.status)
      : outcome.kind === "refused"
      ? outcome.refusal.code
      : "caller_gone";
    metrics.requests.inc({ service, outcome: result });
    metrics.latency.observe({ service }, ms / 1000);
    logger.info({
      reqId: call.requestId,
      route: route.name,
      tenant: call.tenant?.name,
      service,
      key: call.key,
      outcome: result,
      ms: Math.round(ms),
      leftMs: Math.round(state.deadlineAt - this.#opts.clock.now()),
      sends,
      steps,
      config: state.config,
      configAgeMs: state.configAgeMs,
      ranges: state.keyed ? view.ranges(service)?.version : undefined,
    }, "request ended");
  }
}

/** Returns whether a newer record of key owners could change the choice. */
function mayBeStale(choice: Choice): boolean {
  return choice.kind === "wait" ||
    (choice.kind === "refuse" && choice.code === "upstream_unavailable");
}
