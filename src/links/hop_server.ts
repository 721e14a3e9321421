import { timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "../base/clock.ts";
import type { Refusal } from "../base/refusal.ts";
import type { Entry } from "../catalogue/entry.ts";
import type { DispatchRequest } from "../upstreams/dispatch_request.ts";
import type { Dispatching } from "../upstreams/dispatching.ts";
import { responseHeaders } from "./response_headers.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { hasBody } from "./has_body.ts";
import { HOP_HEADER } from "./hop_header.ts";
import { HopRequestHeader } from "./hop_request_header.ts";
import { writeResponse } from "./write_response.ts";
import { writeRefusal } from "./write_refusal.ts";

const HOP_PATH_PREFIX = "/hop";
// Interim responses (102) show the sender that the connection works while the
// response is pending; it cancels the request after 1 s without a byte.
const INTERIM_RESPONSE_INTERVAL_MS = 300;

/** Handles requests that other routers send to dispatchers on this router. */
export class HopServer {
  readonly #opts: {
    clock: Clock;
    region: string;
    findEntry: (name: string) => Entry | undefined;
    local: Dispatching;
  };
  readonly #credential: Buffer;
  /** Responses of requests that are still being dispatched. */
  readonly #pending = new Set<ServerResponse>();

  /**
   * @param opts - clock, region of this router, the entries of the catalogue in
   * force, the dispatchers of this router, the credential that all routers
   * share, and the signal that stops the sending of interim responses
   */
  constructor(opts: {
    clock: Clock;
    region: string;
    findEntry: (name: string) => Entry | undefined;
    local: Dispatching;
    credential: string;
    signal: AbortSignal;
  }) {
    this.#opts = opts;
    this.#credential = Buffer.from(opts.credential, "latin1");
    void this.#sendInterim(opts.signal);
  }

  /**
   * Dispatches a request of another router and writes the response or refusal.
   *
   * @param req - request whose URL begins with `/hop/`
   * @param res - its response
   * @returns a promise that resolves when the response has ended or was aborted
   */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (!this.#isPeer(req)) {
      // Discloses nothing about the router to a sender that is not a router.
      this.#refuse(req, res, {
        code: "not_dispatcher",
        outcome: "not_run",
        message: "the peer credential is not valid",
      }, 401);
      return;
    }
    const parsed = this.#parse(req);
    if ("code" in parsed) {
      this.#refuse(req, res, parsed);
      return;
    }
    const disconnected = new AbortController();
    res.once("close", () => {
      if (!res.writableFinished) disconnected.abort();
    });
    this.#pending.add(res);
    const outcome = await this.#opts.local.dispatch(parsed, disconnected.signal)
      .finally(() => this.#pending.delete(res));
    if (outcome.kind === "refused") {
      this.#refuse(req, res, outcome.refusal);
      return;
    }
    const headers = responseHeaders(outcome.headers);
    headers[HOP_HEADER.waitMs] = String(Math.max(0, outcome.waitMs));
    await writeResponse(res, { ...outcome, headers });
  }

  #isPeer(req: IncomingMessage): boolean {
    const given = req.headers[HOP_HEADER.credential];
    if (typeof given !== "string") return false;
    const bytes = Buffer.from(given, "latin1");
    // The length of the credential is not secret.
    return bytes.length === this.#credential.length &&
      timingSafeEqual(bytes, this.#credential);
  }

  #parse(req: IncomingMessage): DispatchRequest | Refusal {
    const target = (req.url ?? "").slice(HOP_PATH_PREFIX.length);
    const parsed = HopRequestHeader.safeParse(req.headers);
    if (!parsed.success || !target.startsWith("/")) {
      return {
        code: "not_dispatcher",
        outcome: "not_run",
        message: "the headers of the hop are not valid",
        data: {
          failurePoint: "refused_for_good",
          headers: parsed.error?.issues.map((issue) => issue.path.join(".")),
        },
      };
    }
    const hopHeaders = parsed.data;
    const name = hopHeaders[HOP_HEADER.entry];
    const entry = this.#opts.findEntry(name);
    if (
      entry?.service !== hopHeaders[HOP_HEADER.service] ||
      !entry.homeRegions.includes(this.#opts.region)
    ) {
      // The routers' catalogues differ for up to 3 s after a change; the sender
      // retries.
      return {
        code: "not_dispatcher",
        outcome: "not_run",
        message: "the entry is not served here by the catalogue in force",
      };
    }
    return {
      requestId: hopHeaders[HOP_HEADER.requestId],
      entry: name,
      class: entry.class,
      service: entry.service,
      upstream: hopHeaders[HOP_HEADER.upstream],
      digest: hopHeaders[HOP_HEADER.digest],
      idempotent: entry.idempotent,
      checksGrants: entry.checksGrants,
      rowRevision: hopHeaders[HOP_HEADER.rowRevision],
      deadlineAt: this.#opts.clock.now() + hopHeaders[HOP_HEADER.deadlineMs],
      method: req.method ?? "GET",
      target,
      headers: endToEndHeaders(req.rawHeaders),
      body: hasBody(req) ? req : undefined,
    };
  }

  #refuse(
    req: IncomingMessage,
    res: ServerResponse,
    refusal: Refusal,
    status?: number,
  ): void {
    const requestId = req.headers[HOP_HEADER.requestId];
    writeRefusal({
      req,
      res,
      refusal,
      requestId: typeof requestId === "string" ? requestId : "",
      headers: { [HOP_HEADER.refusal]: refusal.code },
      ...(status === undefined ? {} : { status }),
    });
  }

  async #sendInterim(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#opts.clock.sleep(INTERIM_RESPONSE_INTERVAL_MS, signal);
      for (const res of this.#pending) {
        if (!res.headersSent && !res.destroyed) res.writeProcessing();
      }
    }
  }
}
