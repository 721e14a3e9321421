import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { RefusalCode } from "../base/refusal_code.ts";
import type { FleetRetryBudget } from "../limits/fleet_retry_budget.ts";
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
  place: { vm: string; failureDomain: string; region: string };
  /** @param key - number of the key of a request for the service */
  onKey: (service: string, key: number) => void;
  /** The owner of a request's key has changed, or cannot serve it. */
  onStaleOwnership: () => void;
};

/** Connections that fail are cheap to replace, but not for ever. */
const MAX_NOT_SENT = 3;
/** Answers 421 while the owner of a key changes. */
const MAX_MISDIRECTED = 3;
const MISDIRECTED_WAIT_MS = 120;
/** The owner of a key has no connection left; its work takes 100 to 500 ms. */
const FULL_WAIT_MS = 60;
/** A request is sent again only if this much time is left for it. */
const MIN_RETRY_MS = 30;
/** When a second upstream is asked, in parts of the objective. */
const HEDGE_OBJECTIVE_PART = 0.55;
const HEDGE_EXPECTED_FACTOR = 2.5;
/** How long a router counts as just started. */
const START_MS = 3000;
/** Longest wait of a request for what a router reads at its start. */
const START_WAIT_MS = 400;
/** When a refused caller may return, if nothing better is known. */
const DEFAULT_RETRY_MS = 250;

/** Sends callers' requests straight to upstreams. */
export class DirectRouter {
  readonly #opts: Options;
  readonly #splitter = new RouteSplitter();
  readonly #sender: UpstreamSender;
  readonly #startedAt: number;

  /**
   * @param opts - beliefs, protocol, limits and who is told
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.#sender = new UpstreamSender(opts);
    this.#startedAt = opts.clock.now();
  }

  /**
   * @param call - a caller's request
   * @param disconnected - aborts when the caller leaves
   * @returns how it ends
   */
  async handle(
    call: CallerCall,
    disconnected: AbortSignal,
  ): Promise<CallOutcome> {
    const { view, clock, budget } = this.#opts;
    if (!view.complete) await this.#waitForStart(call, disconnected);
    if (view.config === undefined) {
      return this.#early(call, "router_not_current", "no configuration yet");
    }
    const route = view.matcher.match(call.host, call.target);
    if (route === undefined) {
      return this.#early(call, "unknown_entry", "no route matches");
    }
    const service = this.#splitter.next(route);
    const keyed = view.policy(service)?.keyed ?? false;
    if (keyed && call.key !== undefined) this.#opts.onKey(service, call.key);
    budget.onRequest(service);
    const limitMs = Math.min(call.deadlineMs ?? Infinity, route.timeoutMs);
    const state: CallState = {
      call,
      route,
      service,
      keyed,
      deadlineAt: call.receivedAt + limitMs,
      tried: new Set(),
      sends: 0,
      notSent: 0,
      mayHaveRun: false,
      failure: undefined,
      steps: [],
    };
    const outcome = await this.#serve(state, disconnected);
    this.#report(state, outcome, clock.now() - call.receivedAt);
    return outcome;
  }

  /**
   * A router that has just started knows in a moment what it needs. Until
   * then, a refusal would cost callers one of their few repeats.
   */
  async #waitForStart(
    call: CallerCall,
    disconnected: AbortSignal,
  ): Promise<void> {
    const { view, clock } = this.#opts;
    const until = Math.min(
      this.#startedAt + START_MS,
      call.receivedAt + START_WAIT_MS,
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
  ): Promise<CallOutcome> {
    const { clock } = this.#opts;
    let misdirected = 0;
    const isDisconnected = () => disconnected.aborted;
    for (;;) {
      if (isDisconnected()) return { kind: "gone" };
      if (clock.now() >= state.deadlineAt) return this.#late(state);
      const choice = this.#choose(state);
      if (state.keyed && mayBeStale(choice)) this.#opts.onStaleOwnership();
      switch (choice.kind) {
        case "refuse":
          return this.#refuse(state, choice);
        case "wait":
          state.steps.push(`wait: ${choice.reason}`);
          if (!await this.#waited(state, choice.ms, disconnected)) {
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
      if (isDisconnected()) return { kind: "gone" };
      const verdict = judgeResult(result);
      state.steps.push(`${upstream.entry.id}: ${verdict.text}`);
      switch (verdict.kind) {
        case "deliver":
          return this.#deliver(verdict.result);
        case "not_sent":
          state.notSent++;
          if (
            state.notSent > MAX_NOT_SENT || (state.keyed && !verdict.full)
          ) return this.#fail(state, "upstream_unavailable", verdict.text);
          if (state.keyed) {
            state.tried.delete(upstream);
            await this.#waited(state, FULL_WAIT_MS, disconnected);
          }
          break;
        case "misdirected":
          misdirected++;
          if (misdirected > MAX_MISDIRECTED || !this.#mayRepeat(state)) {
            return this.#fail(state, "not_owner", verdict.text);
          }
          if (state.keyed) {
            this.#opts.onStaleOwnership();
            state.tried.delete(upstream);
            await this.#waited(state, MISDIRECTED_WAIT_MS, disconnected);
          }
          break;
        case "rejected":
          if (state.keyed || !this.#mayRepeat(state)) {
            return this.#fail(state, "overloaded", verdict.text);
          }
          break;
        case "failed":
          state.mayHaveRun = true;
          state.failure = verdict.result ?? state.failure;
          if (!state.route.idempotent || !this.#mayRepeat(state)) {
            return this.#fail(state, "upstream_failed", verdict.text);
          }
          if (state.keyed) state.tried.delete(upstream);
          break;
      }
    }
  }

  #choose(state: CallState): Choice {
    const { view, clock, place } = this.#opts;
    const now = clock.now();
    return chooseUpstream({
      view,
      route: state.route,
      service: state.service,
      key: state.call.key,
      tried: state.tried,
      place,
      workMs: this.#opts.work.mean(state.route),
      remainingMs: state.deadlineAt - now,
      now,
    });
  }

  /** Whether the request may be sent once more; takes from the budget. */
  #mayRepeat(state: CallState): boolean {
    const { clock, budget } = this.#opts;
    return state.sends < state.route.maxUpstreams + MAX_MISDIRECTED &&
      state.tried.size < state.route.maxUpstreams &&
      state.deadlineAt - clock.now() > MIN_RETRY_MS &&
      budget.take(state.service);
  }

  /** Waits for a change; returns false if there is no time for it. */
  async #waited(
    state: CallState,
    ms: number,
    disconnected: AbortSignal,
  ): Promise<boolean> {
    const { clock, view } = this.#opts;
    const leftMs = state.deadlineAt - clock.now();
    const before = state.steps.filter((step) => step.startsWith("wait")).length;
    if (leftMs < MIN_RETRY_MS || before > MAX_MISDIRECTED) return false;
    await waitForChange({
      clock,
      ms: Math.min(ms, leftMs),
      notifiers: [view.changed],
    }, disconnected);
    return true;
  }

  /**
   * Sends to the chosen upstream and, if it takes far longer than expected and
   * the request may run twice, to a second one.
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
      HEDGE_OBJECTIVE_PART * route.objectiveMs,
    );
    const answered = new AbortController();
    const early = await Promise.race([
      first,
      clock.sleep(hedgeMs, answered.signal).then(() => undefined),
    ]);
    answered.abort();
    if (early !== undefined || disconnected.aborted) return early ?? first;
    const second = this.#choose(state);
    if (second.kind !== "send" || !this.#mayRepeat(state)) return first;
    state.steps.push("second upstream");
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

  #late(state: CallState): CallOutcome {
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

  /** Ends a request without a good answer of an upstream. */
  #fail(
    state: CallState,
    wanted: RefusalCode,
    message: string,
    retryAfterMs?: number,
  ): CallOutcome {
    if (state.failure !== undefined) return this.#deliver(state.failure);
    const late = this.#opts.clock.now() >= state.deadlineAt;
    const code = !state.mayHaveRun
      ? wanted
      : late
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
      retryAfterMs: state.mayHaveRun
        ? undefined
        : retryAfterMs ?? DEFAULT_RETRY_MS,
    };
  }

  #early(
    call: CallerCall,
    code: RefusalCode,
    message: string,
  ): CallOutcome {
    const { logger, metrics, view } = this.#opts;
    metrics.requests.inc({ service: "", outcome: code });
    logger.info({
      reqId: call.requestId,
      outcome: code,
      config: view.config?.version,
    }, "request refused");
    return {
      kind: "refused",
      refusal: { code, outcome: "not_run", message },
      retryAfterMs: code === "router_not_current" ? START_WAIT_MS : undefined,
    };
  }

  #report(state: CallState, outcome: CallOutcome, ms: number): void {
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
      service,
      key: call.key,
      outcome: result,
      ms: Math.round(ms),
      leftMs: Math.round(state.deadlineAt - this.#opts.clock.now()),
      sends,
      steps,
      config: view.config?.version,
      ranges: state.keyed ? view.ranges(service)?.version : undefined,
    }, "request ended");
  }
}

/** Whether newer owners of keys could change the choice. */
function mayBeStale(choice: Choice): boolean {
  return choice.kind === "wait" ||
    (choice.kind === "refuse" && choice.code === "upstream_unavailable");
}
