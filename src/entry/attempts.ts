import type { Clock } from "../base/clock.ts";
import type { Refusal } from "../base/refusal.ts";
import type { RetryBudget } from "../limits/retry_budget.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";
import type { DispatchOutcome } from "../upstreams/dispatch_outcome.ts";
import type { DispatchRequest } from "../upstreams/dispatch_request.ts";
import type { Dispatching } from "../upstreams/dispatching.ts";
import { BodyFailure } from "./body_failure.ts";
import { CallerBodyStream } from "./caller_body_stream.ts";
import type { UpstreamChooser } from "./upstream_chooser.ts";
import { classifyRefusal } from "./classify_refusal.ts";
import { finalRefusal } from "./final_refusal.ts";
import { findOwner } from "./find_owner.ts";
import type { HoldQueue } from "./hold_queue.ts";
import { retryDecision } from "./retry_decision.ts";

const MAX_SENDS_PER_REQUEST = 3;
// Upstreams of a service without keys that one request tries before it waits.
// Trying all of them would multiply the load on their dispatchers when all
// queues are full.
const MAX_UPSTREAMS_WITHOUT_PAUSE = 3;

type RoutedRequest = {
  /** The request without the fields that each attempt fills in. */
  request: Omit<DispatchRequest, "upstream" | "rowRevision">;
  homeRegions: readonly string[];
  /** Number of shards of the service. */
  shards: number;
};

/** An upstream and the VM of its dispatcher. */
type Target = { upstream: string; vm: string; rowRevision: number };

const NO_DISPATCHER: Refusal = {
  code: "upstream_unavailable",
  outcome: "not_run",
  message: "no dispatcher is known for the upstream",
  data: { failurePoint: "no_dispatcher" },
};

/** A buffer can be sent again, a stream only while nothing was read from it. */
function canSendAgain(body: DispatchRequest["body"]): boolean {
  if (!(body instanceof CallerBodyStream)) return true;
  return !body.readableDidRead && !body.destroyed;
}

/**
 * Reads the signal's state through a call, because TypeScript assumes that the
 * property still has the value of an earlier check.
 */
function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/**
 * Sends a request to the dispatcher of an upstream and retries as section 10 of
 * the design page allows.
 */
export class Attempts {
  readonly #opts: ConstructorParameters<typeof Attempts>[0];

  /**
   * @param opts - clock, name of this VM, the newest assignment rows, the
   * chooser among upstreams of services without keys, the dispatchers of this
   * router, those of other routers by VM, the retry budget, the hold queue, and
   * the longest time in milliseconds for which a request is held
   */
  constructor(opts: {
    clock: Clock;
    vm: string;
    assignments: AssignmentView;
    chooser: UpstreamChooser;
    local: Dispatching;
    remote: (vm: string) => Dispatching | undefined;
    budget: RetryBudget;
    holdQueue: HoldQueue;
    maxHoldMs: number;
  }) {
    this.#opts = opts;
  }

  /**
   * Sends a request until an upstream responds or no retry is allowed.
   *
   * @param routed - the request and what is needed to find its owner
   * @param signal - aborted when the caller disconnects or the deadline passes
   * @returns the response of an upstream, or the refusal for the caller
   */
  async run(
    routed: RoutedRequest,
    signal: AbortSignal,
  ): Promise<DispatchOutcome> {
    const { clock, holdQueue, budget, maxHoldMs } = this.#opts;
    const { service, idempotent, deadlineAt, body, digest } = routed.request;
    const rows = { service, regions: routed.homeRegions };
    const tried = new Set<string>();
    let sends = 0;
    let mayHaveRun = false;
    let holdUntil: number | undefined;
    for (;;) {
      const seenRevisions = holdQueue.revisionSum(service, routed.homeRegions);
      const target = this.#chooseTarget(routed, tried);
      const outcome = await this.#send(routed, target, signal);
      const upstream = digest === undefined ? undefined : target?.upstream;
      if (outcome.kind === "response") {
        holdQueue.wakeNext(service, upstream);
        return outcome;
      }

      const { refusal } = outcome;
      const decision = retryDecision(classifyRefusal(refusal), idempotent);
      if (decision.report !== "not_run") mayHaveRun = true;
      if (decision.countsAsSend) sends++;
      const refused = (): DispatchOutcome => ({
        kind: "refused",
        refusal: this.#refusalForCaller(refusal, {
          mayHaveRun,
          body,
          deadlineAt,
        }),
      });
      if (
        decision.retry === "no" || sends >= MAX_SENDS_PER_REQUEST ||
        signal.aborted ||
        !canSendAgain(body)
      ) return refused();
      if (target !== undefined) tried.add(target.upstream);
      const hasUntriedUpstream = digest === undefined &&
        tried.size < MAX_UPSTREAMS_WITHOUT_PAUSE &&
        this.#chooseTarget(routed, tried) !== undefined;
      const mustWait = decision.retry === "after_hold" && !hasUntriedUpstream;
      const now = clock.now();
      holdUntil ??= mustWait
        ? Math.min(now + maxHoldMs, deadlineAt)
        : undefined;
      if (mustWait && now >= (holdUntil ?? now)) return refused();
      if (decision.usesBudget && !budget.take(service)) return refused();
      if (mustWait) {
        const until = holdUntil ?? now;
        const waited = await holdQueue.wait({
          ...rows,
          seenRevisions,
          upstream,
          until,
          signal,
        });
        if (!waited) return refused();
        tried.clear();
      }
      if (clock.now() >= deadlineAt) return refused();
    }
  }

  #chooseTarget(
    routed: RoutedRequest,
    tried: ReadonlySet<string>,
  ): Target | undefined {
    const { assignments, chooser } = this.#opts;
    const { service, digest } = routed.request;
    const { homeRegions, shards } = routed;
    return digest === undefined
      ? chooser.choose(service, homeRegions, tried)
      : findOwner(assignments, { service, homeRegions, shards, digest });
  }

  async #send(
    routed: RoutedRequest,
    target: Target | undefined,
    signal: AbortSignal,
  ): Promise<DispatchOutcome> {
    const { vm, local, remote, chooser } = this.#opts;
    const dispatching = target === undefined
      ? undefined
      : target.vm === vm
      ? local
      : remote(target.vm);
    if (
      target === undefined || dispatching === undefined || signal.aborted
    ) {
      return { kind: "refused", refusal: NO_DISPATCHER };
    }
    const { upstream, rowRevision } = target;
    const req = { ...routed.request, upstream, rowRevision };
    if (req.digest !== undefined) {
      return await dispatching.dispatch(req, signal);
    }
    const untrack = chooser.trackRequest(req.service, upstream);
    const outcome = await dispatching.dispatch(req, signal)
      .catch((err: unknown) => {
        untrack();
        throw err;
      });
    if (outcome.kind === "response") {
      chooser.recordResponse(req.service, upstream, outcome.waitMs);
      if (outcome.body.closed) untrack();
      else outcome.body.once("close", untrack);
    } else {
      untrack();
      const failurePoint = classifyRefusal(outcome.refusal);
      const unreachable = failurePoint === "not_connected" ||
        failurePoint === "refused_by_dispatcher";
      // Excludes the upstream for 300 ms, so that other requests do not try it
      // in vain. A cancelled attempt and one with a bad body are not the
      // upstream's fault.
      if (unreachable && !isAborted(signal)) {
        chooser.recordUnreachable(req.service, upstream);
      }
    }
    return outcome;
  }

  #refusalForCaller(
    refusal: Refusal,
    opts: {
      mayHaveRun: boolean;
      body: DispatchRequest["body"];
      deadlineAt: number;
    },
  ): Refusal {
    const { body, mayHaveRun } = opts;
    const deadlinePassed = this.#opts.clock.now() >= opts.deadlineAt;
    const callerRefusal = finalRefusal(refusal, { mayHaveRun, deadlinePassed });
    if (!(body instanceof CallerBodyStream)) return callerRefusal;
    // The caller's body caused the failure, so its error is reported.
    const { errored } = body;
    return errored instanceof BodyFailure
      ? { ...callerRefusal, code: errored.code, message: errored.message }
      : callerRefusal;
  }
}
