import { getRequestListener } from "@hono/node-server";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../base/clock.ts";
import { DrainingServer } from "../links/draining_server.ts";
import { responseHeaders } from "../links/response_headers.ts";
import { endToEndHeaders } from "../links/end_to_end_headers.ts";
import { hasBody } from "../links/has_body.ts";
import { HOP_HEADER } from "../links/hop_header.ts";
import { writeResponse } from "../links/write_response.ts";
import { writeRefusal } from "../links/write_refusal.ts";
import type { RefusalCode } from "../base/refusal_code.ts";
import type { CallerRequest } from "./caller_request.ts";
import { callerTarget } from "./caller_target.ts";
import { probeApp } from "./probe_app.ts";
import { refuseUnparsableRequest } from "./refuse_unparsable_request.ts";
import type { Router } from "./router.ts";

// Longer than the idle timeout of the load balancer, so that the router never
// closes a connection on which a request is arriving.
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
// Node.js detects a header timeout at its next periodic check. With ten checks
// per timeout, that is up to 10% late.
const HEADER_CHECKS_PER_TIMEOUT = 10;

/** Listens for callers. Paths that begin with `/-/` are health checks. */
export class CallerListener {
  readonly #opts: ConstructorParameters<typeof CallerListener>[0];
  readonly #server: DrainingServer;

  /**
   * @param opts - clock, limits of headers, the router, whether the router is
   * ready for requests (a drain makes it unready in any case), the shortest
   * time in milliseconds for which a drain keeps the listening socket open, the
   * log, and a callback for requests that could not be parsed, which gets the
   * refusal code (undefined if the response has none)
   */
  constructor(opts: {
    clock: Clock;
    requests: { maxHeaderBytes: number; headersTimeoutMs: number };
    router: Pick<Router, "handle">;
    isReady: () => boolean;
    readinessDelayMs: number;
    logger: { error(fields: Record<string, unknown>, message: string): void };
    onUnparsableRequest?: (code: RefusalCode | undefined) => void;
  }) {
    this.#opts = opts;
    const { maxHeaderBytes, headersTimeoutMs } = opts.requests;
    const app = probeApp(() => !this.#server.draining && opts.isReady());
    const handleProbe = getRequestListener(app.fetch);
    this.#server = new DrainingServer({
      clock: opts.clock,
      http: {
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: headersTimeoutMs,
        connectionsCheckingInterval: Math.ceil(
          headersTimeoutMs / HEADER_CHECKS_PER_TIMEOUT,
        ),
        // The pause between chunks of a body is limited instead.
        requestTimeout: 0,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        noDelay: true,
      },
      handle: (req, res, expectsContinue) => {
        if (req.url?.startsWith("/-/") === true) void handleProbe(req, res);
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
   * @returns the port; rejects if the server cannot listen on the address
   */
  listen(address: string): Promise<number> {
    return this.#server.listen(address);
  }

  /**
   * Stops without aborting a request: reports not ready, serves requests with
   * `Connection: close` until none is in flight and the connections are quiet,
   * and then closes the listening socket and all connections.
   *
   * @param signal - ends the wait for quiet connections
   * @returns a promise that resolves when all connections are closed
   */
  drain(signal: AbortSignal): Promise<void> {
    return this.#server.drain({
      minListenMs: this.#opts.readinessDelayMs,
      signal,
    });
  }

  /**
   * Closes the listening socket and all connections without waiting, also
   * those with a request in flight.
   */
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
    // Emitted when the caller disconnects, which the response's `close` event
    // handles.
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
        sendContinueIfExpected: () => {
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
      const headers = responseHeaders(outcome.headers);
      headers[HOP_HEADER.requestId] = requestId;
      await writeResponse(res, { ...outcome, headers });
    } catch (err) {
      // An unexpected error must end only this request, not the router.
      this.#opts.logger.error(
        { err, requestId },
        "unexpected error while handling a request; resetting its connection",
      );
      res.socket?.resetAndDestroy();
      res.destroy();
    }
  }

  #onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || socket.destroyed) return;
    // The caller would read a refusal as the response to a request in flight.
    if (this.#server.requestsInFlightOn(socket) > 0) {
      socket.destroy();
      return;
    }
    const code = refuseUnparsableRequest(socket, err.code);
    this.#opts.onUnparsableRequest?.(code);
  }
}
