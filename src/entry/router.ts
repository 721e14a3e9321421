import type { Result } from "neverthrow";
import type { Readable } from "node:stream";
import type { Clock } from "../base/clock.ts";
import { keyDigest } from "../base/key_digest.ts";
import type { Refusal } from "../base/refusal.ts";
import type { DispatchOutcome } from "../upstreams/dispatch_outcome.ts";
import type { StoreContactView } from "../vms/store_contact_view.ts";
import type { Attempts } from "./attempts.ts";
import { CallerBodyStream } from "./caller_body_stream.ts";
import type { CallerRequest } from "./caller_request.ts";
import { checkRequest } from "./check_request.ts";
import type { ExpiryWatch } from "./expiry_watch.ts";
import { takeBody } from "./take_body.ts";

// The dispatcher's own refusal at the deadline says whether the request ran; it
// gets two delays between regions (40 ms) and a pause to arrive.
const DEADLINE_GRACE_MS = 100;

type Shares = {
  admit(
    entry: string,
    opts: { until: number; signal: AbortSignal },
  ): Promise<Result<{ release: () => void }, Refusal>>;
};

const OVERLOADED: Refusal = {
  code: "overloaded",
  outcome: "not_run",
  message: "the router has more requests than it can handle",
};

/** Takes each caller's request to the dispatcher of an upstream. */
export class Router {
  readonly #opts: ConstructorParameters<typeof Router>[0];

  /**
   * @param opts - clock, timers, the router's mode, load and region, the catalogue in
   * force, the limit shares, the sender of requests, and how bodies are read
   */
  constructor(opts: {
    clock: Clock;
    watch: ExpiryWatch;
    contact: Pick<StoreContactView, "mode">;
    load: { readonly overloaded: boolean };
    catalogue: Omit<Parameters<typeof checkRequest>[1], "mode">;
    shares: Shares;
    budget: { onRequest(service: string): void };
    attempts: Pick<Attempts, "run">;
    requests: { replayBytes: number; bodyPauseMs: number };
  }) {
    this.#opts = opts;
  }

  /**
   * Routes one request. The body of an answer must be read to its end or
   * destroyed, which ends the request's share of the limits.
   *
   * @param req - the request
   * @param end - cancels the request; aborted by the listener when the caller
   * goes away, and by this method when the deadline has passed
   * @returns the upstream's answer, or why there is none
   */
  async handle(
    req: CallerRequest,
    end: AbortController,
  ): Promise<DispatchOutcome> {
    const { clock, contact, catalogue, shares, budget, watch } = this.#opts;
    if (this.#opts.load.overloaded) {
      return { kind: "refused", refusal: OVERLOADED };
    }
    const mode = contact.mode();
    const checked = checkRequest(req, { ...catalogue, mode });
    if (checked.isErr()) return { kind: "refused", refusal: checked.error };
    const { name, entry, service, key } = checked.value;
    req.onMatched?.(entry.service);
    const deadlineAt = clock.now() + entry.limits.maxRequestMs;

    const streaming: { answer?: Readable } = {};
    const expiry = {
      at: deadlineAt + DEADLINE_GRACE_MS,
      onExpiry: () => {
        end.abort();
        // An answer that outlasts the deadline is cut.
        streaming.answer?.destroy(new Error("the deadline has passed"));
      },
    };
    const share = await shares.admit(name, {
      until: deadlineAt,
      signal: end.signal,
    });
    if (share.isErr()) return { kind: "refused", refusal: share.error };
    budget.onRequest(entry.service);
    const body = await takeBody(req, {
      maxBytes: entry.limits.maxBodyBytes,
      replayBytes: this.#opts.requests.replayBytes,
      pauseMs: this.#opts.requests.bodyPauseMs,
      deadlineAt,
      clock,
      watch,
    });
    if (body.isErr()) {
      share.value.release();
      return { kind: "refused", refusal: body.error };
    }
    watch.add(expiry);
    const finish = () => {
      watch.remove(expiry);
      share.value.release();
      if (body.value instanceof CallerBodyStream) body.value.destroy();
    };
    const outcome = await this.#opts.attempts.run({
      request: {
        requestId: req.requestId,
        entry: name,
        class: entry.class,
        service: entry.service,
        digest: key === undefined ? undefined : keyDigest(entry.service, key),
        idempotent: entry.idempotent,
        checksGrants: entry.checksGrants,
        deadlineAt,
        method: req.method,
        target: req.target,
        headers: req.headers,
        body: body.value,
      },
      homeRegions: entry.homeRegions,
      shards: service.shards,
    }, end.signal).catch((err: unknown) => {
      finish();
      throw err;
    });
    if (outcome.kind === "refused") {
      finish();
      return outcome;
    }
    const answer = outcome.body;
    streaming.answer = answer;
    // The reader of the body notices a cut by its end.
    answer.on("error", () => undefined);
    if (end.signal.aborted) answer.destroy();
    if (answer.closed) finish();
    else answer.once("close", finish);
    return outcome;
  }
}
