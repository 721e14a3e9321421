import type { Clock } from "../base/clock.ts";
import type { Refusal } from "../base/refusal.ts";
import type { RetryBudget } from "../limits/retry_budget.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";
import type { DispatchOutcome } from "../upstreams/dispatch_outcome.ts";
import type { DispatchRequest } from "../upstreams/dispatch_request.ts";
import type { Dispatching } from "../upstreams/dispatching.ts";
import { BodyFailure } from "./body_failure.ts";
import { CallerBodyStream } from "./caller_body_stream.ts";
import type { UpstreamChooser } from "./choose_upstream.ts";
import { classifyRefusal } from "./classify_refusal.ts";
import { finalRefusal } from "./final_refusal.ts";
import { findOwner } from "./find_owner.ts";
import type { HoldQueue } from "./hold_queue.ts";
import { retryDecision } from "./retry_decision.ts";

const MAX_SENDS = 3;
// Upstreams of a service without keys that are tried without a pause. Trying
// all would multiply the load on their dispatchers when all queues are full.
const MAX_TRIED = 3;

type Job = {
  /** The request, except for what depends on the attempt. */
  request: Omit<DispatchRequest, "upstream" | "rowRevision">;
  homeRegions: readonly string[];
  shards: number;
};

type Target = { upstream: string; vm: string; rowRevision: number };

const NO_DISPATCHER: Refusal = {
  code: "upstream_unavailable",
  outcome: "not_run",
  message: "no dispatcher is known for the upstream",
  data: { failurePoint: "no_dispatcher" },
};

function canSendAgain(body: DispatchRequest["body"]): boolean {
  if (!(body instanceof CallerBodyStream)) return true;
  return !body.readableDidRead && !body.destroyed;
}

/** Reads the state anew, which the compiler takes for unchanged. */
function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/** Sends a request and, as far as section 10 allows, sends it again. */
export class Attempts {
  readonly #opts: ConstructorParameters<typeof Attempts>[0];

  /**
   * @param opts - clock, own VM, the newest rows, the choice among upstreams of
   * services without keys, the dispatchers of this router, those of others,
   * the retry budget, the hold queue, and the longest hold in milliseconds
   */
  constructor(opts: {
    clock: Clock;
    vm: string;
    assignments: AssignmentView;
    chooser: UpstreamChooser;
    local: Dispatching;
    remote: (vm: string) => Dispatching | undefined;
    budget: RetryBudget;
    hold: HoldQueue;
    holdMs: number;
  }) {
    this.#opts = opts;
  }

  /**
   * @param job - the request and how to find its owner
   * @param signal - the caller went away, or the deadline has passed
   * @returns the answer of an upstream, or the refusal for the caller
   */
  async run(job: Job, signal: AbortSignal): Promise<DispatchOutcome> {
    const { clock, hold, budget, holdMs } = this.#opts;
    const { service, idempotent, deadlineAt, body, digest } = job.request;
    const rows = { service, regions: job.homeRegions };
    const tried = new Set<string>();
    let sends = 0;
    let mayHaveRun = false;
    let holdUntil: number | undefined;
    for (;;) {
      const seen = hold.revisionOf(service, job.homeRegions);
      const target = this.#target(job, tried);
      const outcome = await this.#send(job, target, signal);
      const upstream = digest === undefined ? undefined : target?.upstream;
      if (outcome.kind === "response") {
        hold.answered(service, upstream);
        return outcome;
      }

      const { refusal } = outcome;
      const decision = retryDecision(classifyRefusal(refusal), idempotent);
      if (decision.report !== "not_run") mayHaveRun = true;
      if (decision.send) sends++;
      const end = (): DispatchOutcome => ({
        kind: "refused",
        refusal: this.#final(refusal, { mayHaveRun, body, deadlineAt }),
      });
      if (
        decision.retry === "no" || sends >= MAX_SENDS || signal.aborted ||
        !canSendAgain(body)
      ) return end();
      if (target !== undefined) tried.add(target.upstream);
      const another = digest === undefined && tried.size < MAX_TRIED &&
        this.#target(job, tried) !== undefined;
      const wait = decision.retry === "after_hold" && !another;
      const now = clock.now();
      holdUntil ??= wait ? Math.min(now + holdMs, deadlineAt) : undefined;
      if (wait && now >= (holdUntil ?? now)) return end();
      if (decision.budget && !budget.take(service)) return end();
      if (wait) {
        const until = holdUntil ?? now;
        const waited = await hold.wait({
          ...rows,
          seen,
          upstream,
          until,
          signal,
        });
        if (!waited) return end();
        tried.clear();
      }
      if (clock.now() >= deadlineAt) return end();
    }
  }

  #target(job: Job, tried: ReadonlySet<string>): Target | undefined {
    const { assignments, chooser } = this.#opts;
    const { service, digest } = job.request;
    const { homeRegions, shards } = job;
    return digest === undefined
      ? chooser.choose(service, homeRegions, tried)
      : findOwner(assignments, { service, homeRegions, shards, digest });
  }

  async #send(
    job: Job,
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
    const req = { ...job.request, upstream, rowRevision };
    if (req.digest !== undefined) {
      return await dispatching.dispatch(req, signal);
    }
    const ended = chooser.started(req.service, upstream);
    const outcome = await dispatching.dispatch(req, signal)
      .catch((err: unknown) => {
        ended();
        throw err;
      });
    if (outcome.kind === "response") {
      chooser.answered(req.service, upstream, outcome.waitMs);
      if (outcome.body.closed) ended();
      else outcome.body.once("close", ended);
    } else {
      ended();
      const point = classifyRefusal(outcome.refusal);
      const unreachable = point === "not_connected" ||
        point === "refused_by_dispatcher";
      // Other requests need not find out again. A cancelled attempt and one
      // with a bad body say nothing about the upstream.
      if (unreachable && !isAborted(signal)) {
        chooser.failed(req.service, upstream);
      }
    }
    return outcome;
  }

  #final(
    refusal: Refusal,
    opts: {
      mayHaveRun: boolean;
      body: DispatchRequest["body"];
      deadlineAt: number;
    },
  ): Refusal {
    const { body, mayHaveRun } = opts;
    const late = this.#opts.clock.now() >= opts.deadlineAt;
    const final = finalRefusal(refusal, { mayHaveRun, late });
    if (!(body instanceof CallerBodyStream)) return final;
    // The attempt failed because of the caller's own body.
    const { errored } = body;
    return errored instanceof BodyFailure
      ? { ...final, code: errored.code, message: errored.message }
      : final;
  }
}
