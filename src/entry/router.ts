import type { Result } from "neverthrow";
import type { Clock } from "../base/clock.ts";
import { keyDigest } from "../base/key_digest.ts";
import type { Refusal } from "../base/refusal.ts";
import type { DispatchOutcome } from "../upstreams/dispatch_outcome.ts";
import type { StoreContactView } from "../vms/store_contact_view.ts";
import type { Attempts } from "./attempts.ts";
import { CallerBodyStream } from "./caller_body_stream.ts";
import type { CallerRequest } from "./caller_request.ts";
import { checkRequest } from "./check_request.ts";
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

/** Takes each caller's request to the dispatcher of an upstream. */
export class Router {
  readonly #opts: ConstructorParameters<typeof Router>[0];

  /**
   * @param opts - clock, the router's mode and region, the catalogue in force,
   * the limit shares, the sender of requests, and how bodies are read
   */
  constructor(opts: {
    clock: Clock;
    contact: Pick<StoreContactView, "mode">;
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
   * @param gone - the caller went away
   * @returns the upstream's answer, or why there is none
   */
  async handle(
    req: CallerRequest,
    gone: AbortSignal,
  ): Promise<DispatchOutcome> {
    const { clock, contact, catalogue, shares, budget } = this.#opts;
    const mode = contact.mode();
    const checked = checkRequest(req, { ...catalogue, mode });
    if (checked.isErr()) return { kind: "refused", refusal: checked.error };
    const { name, entry, service, key } = checked.value;
    const deadlineAt = clock.now() + entry.limits.maxRequestMs;

    const stop = new AbortController();
    const timerEnd = new AbortController();
    const cancel = () => stop.abort();
    gone.addEventListener("abort", cancel, { once: true });
    if (gone.aborted) cancel();
    const share = await shares.admit(name, {
      until: deadlineAt,
      signal: stop.signal,
    });
    const release = () => {
      timerEnd.abort();
      gone.removeEventListener("abort", cancel);
      if (share.isOk()) share.value.release();
    };
    if (share.isErr()) {
      release();
      return { kind: "refused", refusal: share.error };
    }
    budget.onRequest(entry.service);
    const timerMs = deadlineAt + DEADLINE_GRACE_MS - clock.now();
    void clock.sleep(timerMs, timerEnd.signal).then(() => {
      if (!timerEnd.signal.aborted) stop.abort();
    });

    const body = await takeBody(req, {
      maxBytes: entry.limits.maxBodyBytes,
      replayBytes: this.#opts.requests.replayBytes,
      pauseMs: this.#opts.requests.bodyPauseMs,
      clock,
      signal: stop.signal,
    });
    if (body.isErr()) {
      release();
      return { kind: "refused", refusal: body.error };
    }
    const end = () => {
      release();
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
    }, stop.signal);
    if (outcome.kind === "refused") {
      end();
      return outcome;
    }
    const answer = outcome.body;
    // An answer that outlasts the deadline is cut.
    const cut = () => answer.destroy(new Error("the request has ended"));
    stop.signal.addEventListener("abort", cut, { once: true });
    if (stop.signal.aborted) cut();
    // The reader of the body notices a cut by its end.
    answer.on("error", () => undefined);
    if (answer.closed) end();
    else answer.once("close", end);
    return outcome;
  }
}
