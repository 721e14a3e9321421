import { getRequestListener } from "@hono/node-server";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../base/clock.ts";
import { DrainingServer } from "../links/draining_server.ts";
import { answerHeaders } from "../links/answer_headers.ts";
import { endToEndHeaders } from "../links/end_to_end_headers.ts";
import { hasBody } from "../links/has_body.ts";
import { HOP_HEADER } from "../links/hop_header.ts";
import { writeAnswer } from "../links/write_answer.ts";
import { writeRefusal } from "../links/write_refusal.ts";
import type { RefusalCode } from "../base/refusal_code.ts";
import type { CallerRequest } from "./caller_request.ts";
import { callerTarget } from "./caller_target.ts";
import { probeApp } from "./probe_app.ts";
import { refuseBrokenRequest } from "./refuse_broken_request.ts";
import type { Router } from "./router.ts";

// Longer than the load balancer keeps idle connections, so that this side never
// closes one on which a request is arriving.
const KEEP_ALIVE_MS = 75_000;
const HEADER_CHECKS_PER_TIMEOUT = 10;

/** The listener for callers. Paths below `/-/` are the router's own. */
export class CallerListener {
  readonly #opts: ConstructorParameters<typeof CallerListener>[0];
  readonly #server: DrainingServer;

  /**
   * @param opts - clock, limits on headers, the router, whether the router may
   * be sent requests apart from a drain, the shortest time in milliseconds for
   * which a drain keeps the listening socket open, the log, and who is told the
   * refusal code of a request that could not be parsed
   */
  constructor(opts: {
    clock: Clock;
    requests: { maxHeaderBytes: number; headersTimeoutMs: number };
    router: Pick<Router, "handle">;
    isReady: () => boolean;
    readinessDelayMs: number;
    logger: { error(fields: Record<string, unknown>, message: string): void };
    onBroken?: (code: RefusalCode | undefined) => void;
  }) {
    this.#opts = opts;
    const { maxHeaderBytes, headersTimeoutMs } = opts.requests;
    const app = probeApp(() => !this.#server.draining && opts.isReady());
    const probe = getRequestListener(app.fetch);
    this.#server = new DrainingServer({
      clock: opts.clock,
      http: {
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: headersTimeoutMs,
        connectionsCheckingInterval: Math.ceil(
          headersTimeoutMs / HEADER_CHECKS_PER_TIMEOUT,
        ),
        // The pause between parts of a body is limited instead.
        requestTimeout: 0,
        keepAliveTimeout: KEEP_ALIVE_MS,
        noDelay: true,
      },
      handle: (req, res, expectsContinue) => {
        if (req.url?.startsWith("/-/") === true) void probe(req, res);
        else void this.#handle(req, res, expectsContinue);
      },
      isAuxiliary: (req) => req.url?.startsWith("/-/") === true,
    });
    this.#server.server.on(
      "clientError",
      (err: NodeJS.ErrnoException, socket: Socket) =>
        this.#onClientError(err, socket),
    );
  }

  /**
   * @param address - `IP:PORT`; port 0 lets the system choose
   * @returns the port; rejects if the address cannot be listened on
   */
  listen(address: string): Promise<number> {
    return this.#server.listen(address);
  }

  /**
   * Stops without cutting a request: readiness goes false, requests are served
   * with `Connection: close` until none is in flight and the connections are
   * quiet, and then everything is closed.
   *
   * @param signal - ends the wait for quiet connections
   * @returns a promise that resolves when everything is closed
   */
  drain(signal: AbortSignal): Promise<void> {
    return this.#server.drain({ minMs: this.#opts.readinessDelayMs, signal });
  }

  /** Closes the listening socket and all connections at once. */
  close(): void {
    this.#server.close();
  }

  async #handle(
    req: IncomingMessage,
    res: ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    const requestId = randomUUID();
    const disconnected = new AbortController();
    let bodyWithheld = expectsContinue;
    // Emitted when the caller goes away; `close` of the response reports it.
    req.on("error", () => undefined);
    res.once("close", () => {
      if (!res.writableFinished) disconnected.abort();
    });
    try {
      const length = req.headers["content-length"];
      const request: CallerRequest = {
        requestId,
        method: req.method ?? "GET",
        target: callerTarget(req.url ?? ""),
        host: req.headers.host,
        headers: endToEndHeaders(req.rawHeaders),
        body: hasBody(req) ? req : undefined,
        contentLength: length === undefined ? undefined : Number(length),
        askForBody: () => {
          if (!bodyWithheld) return;
          bodyWithheld = false;
          res.writeContinue();
        },
      };
      const outcome = await this.#opts.router.handle(request, disconnected);
      if (outcome.kind === "refused") {
        const { refusal } = outcome;
        writeRefusal({ req, res, refusal, requestId, bodyWithheld });
        return;
      }
      const headers = answerHeaders(outcome.headers);
      headers[HOP_HEADER.requestId] = requestId;
      await writeAnswer(res, { ...outcome, headers });
    } catch (err) {
      // A broken invariant ends one request, not the router.
      this.#opts.logger.error({ err, requestId }, "request failed");
      res.socket?.resetAndDestroy();
      res.destroy();
    }
  }

  #onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || socket.destroyed) return;
    // An answer written now would be taken for that of a request in flight.
    if (this.#server.requestsOn(socket) > 0) {
      socket.destroy();
      return;
    }
    const code = refuseBrokenRequest(socket, err.code);
    this.#opts.onBroken?.(code);
  }
}
