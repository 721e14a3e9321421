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
import type { ExpiryTimer } from "./expiry_timer.ts";
import { readCallerBody } from "./read_caller_body.ts";

// At the deadline, the dispatcher refuses the request and reports whether it
// may have run. The grace period lets that refusal arrive: it covers two delays
// between regions (40 ms in total) and a pause of a process.
const DEADLINE_GRACE_PERIOD_MS = 100;

type LimitShares = {
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

/**
 * Handles callers' requests: checks each against the catalogue and the limits,
 * reads its body and sends it to the dispatcher of an upstream.
 */
export class Router {
  readonly #opts: ConstructorParameters<typeof Router>[0];

  /**
   * @param opts - clock, the timer of time limits, the router's mode, load and
   * region, the catalogue in force, the limit shares, the retry budget, the
   * sender of requests, and the limits for reading bodies
   */
  constructor(opts: {
    clock: Clock;
    timer: ExpiryTimer;
    contact: Pick<StoreContactView, "mode">;
    load: { readonly overloaded: boolean };
    catalogue: Omit<Parameters<typeof checkRequest>[1], "mode">;
    shares: LimitShares;
    budget: { onRequest(service: string): void };
    attempts: Pick<Attempts, "run">;
    requests: { replayBytes: number; bodyPauseMs: number };
  }) {
    this.#opts = opts;
  }

  /**
   * Routes one request. The body of a response must be read to its end or
   * destroyed; the request counts against the entry's limits until then.
   *
   * @param req - the request
   * @param abortController - cancels the request; the listener aborts it when
   * the caller disconnects, and this method when the deadline has passed
   * @returns the upstream's response, or the refusal for the caller
   */
  async handle(
    req: CallerRequest,
    abortController: AbortController,
  ): Promise<DispatchOutcome> {
    const { clock, contact, catalogue, shares, budget, timer } = this.#opts;
    if (this.#opts.load.overloaded) {
      return { kind: "refused", refusal: OVERLOADED };
    }
    const mode = contact.mode();
    const checked = checkRequest(req, { ...catalogue, mode });
    if (checked.isErr()) return { kind: "refused", refusal: checked.error };
    const { name, entry, service, key } = checked.value;
    req.onMatched?.(entry.service);
    const deadlineAt = clock.now() + entry.limits.maxRequestMs;

    const streaming: { body?: Readable } = {};
    const expiry = {
      at: deadlineAt + DEADLINE_GRACE_PERIOD_MS,
      onExpiry: () => {
        abortController.abort();
        // A response that is still streaming after the deadline is aborted.
        streaming.body?.destroy(new Error("the deadline has passed"));
      },
    };
    const admission = await shares.admit(name, {
      until: deadlineAt,
      signal: abortController.signal,
    });
    if (admission.isErr()) return { kind: "refused", refusal: admission.error };
    budget.onRequest(entry.service);
    const body = await readCallerBody(req, {
      maxBytes: entry.limits.maxBodyBytes,
      replayBytes: this.#opts.requests.replayBytes,
      maxPauseMs: this.#opts.requests.bodyPauseMs,
      deadlineAt,
      clock,
      timer,
    });
    if (body.isErr()) {
      admission.value.release();
      return { kind: "refused", refusal: body.error };
    }
    timer.add(expiry);
    const finish = () => {
      timer.remove(expiry);
      admission.value.release();
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
    }, abortController.signal).catch((err: unknown) => {
      finish();
      throw err;
    });
    if (outcome.kind === "refused") {
      finish();
      return outcome;
    }
    const responseBody = outcome.body;
    streaming.body = responseBody;
    // An aborted body is handled by its reader; this listener only keeps the
    // error from being an uncaught exception.
    responseBody.on("error", () => undefined);
    if (abortController.signal.aborted) responseBody.destroy();
    if (responseBody.closed) finish();
    else responseBody.once("close", finish);
    return outcome;
  }
}
