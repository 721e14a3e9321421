import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import { refuseUnparsableRequest } from "../entry/refuse_unparsable_request.ts";
import { DrainingServer } from "../links/draining_server.ts";
import { endToEndHeaders } from "../links/end_to_end_headers.ts";
import { hasBody } from "../links/has_body.ts";
import { writeRefusal } from "../links/write_refusal.ts";
import type { CallerCall } from "./caller_call.ts";
import type { CallOutcome } from "./call_outcome.ts";
import type { DirectRouter } from "./direct_router.ts";
import type { WireProtocol } from "./wire_protocol.ts";

type Options = {
  clock: Clock;
  logger: Logger;
  router: Pick<DirectRouter, "handle">;
  protocol: WireProtocol;
  /** Current limit of a request's body, in bytes. */
  maxBodyBytes: () => number;
  /** Shortest time for which a drain accepts connections, in milliseconds. */
  readinessDelayMs: number;
};

/** Above the limit in the configuration, which callers already respect. */
const MAX_HEADER_BYTES = 64 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const HEADERS_TIMEOUT_CHECK_INTERVAL_MS = 1000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/**
 * The listener closes an idle connection this much later than the caller does,
 * so that it closes none on which a request is arriving.
 */
const IDLE_TIMEOUT_MARGIN_MS = 2000;

/** Accepts callers' requests and writes the answers and refusals. */
export class DirectListener {
  readonly #opts: Options;
  readonly #server: DrainingServer;

  /**
   * @param opts - the router, the wire protocol, and the limits
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.#server = new DrainingServer({
      clock: opts.clock,
      http: {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        connectionsCheckingInterval: HEADERS_TIMEOUT_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS + IDLE_TIMEOUT_MARGIN_MS,
        noDelay: true,
      },
      handle: (req, res, expectsContinue) =>
        void this.#handle(req, res, expectsContinue),
      isAuxiliary: () => false,
    });
    this.#server.server.on(
      "clientError",
      (err: NodeJS.ErrnoException, socket: Socket) => {
        if (!socket.writable || socket.destroyed) return;
        // The caller would read an answer written now as that of a request in
        // flight.
        if (this.#server.requestsInFlightOn(socket) > 0) socket.destroy();
        else refuseUnparsableRequest(socket, err.code);
      },
    );
  }

  /**
   * @returns whether a drain has begun
   */
  get draining(): boolean {
    return this.#server.draining;
  }

  /**
   * @param address - `IP:PORT`; port 0 lets the system choose
   * @returns the port; rejects if the address cannot be bound
   */
  listen(address: string): Promise<number> {
    return this.#server.listen(address);
  }

  /** @param ms - how long callers may leave connections idle */
  setIdleTimeout(ms: number): void {
    this.#server.server.keepAliveTimeout = ms + IDLE_TIMEOUT_MARGIN_MS;
  }

  /**
   * Stops without interrupting requests in flight.
   *
   * @param signal - ends the wait for idle connections when it aborts
   * @returns a promise that resolves when all connections are closed
   */
  drain(signal: AbortSignal): Promise<void> {
    return this.#server.drain({
      minListenMs: this.#opts.readinessDelayMs,
      signal,
    });
  }

  async #handle(
    req: IncomingMessage,
    res: ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    const { clock, protocol, router, logger } = this.#opts;
    const receivedAt = clock.now();
    const disconnected = new AbortController();
    req.on("error", () => undefined);
    res.once("close", () => {
      if (!res.writableFinished) disconnected.abort();
    });
    const headerFields = protocol.readCall(req.headers);
    const requestId = headerFields.requestId ?? randomUUID();
    try {
      if (expectsContinue) res.writeContinue();
      const body = await readBody(req, this.#opts.maxBodyBytes());
      if (body === "gone") return;
      if (body === "too_large") {
        const maxBodyBytes = this.#opts.maxBodyBytes();
        this.#answer(req, res, requestId, {
          kind: "refused",
          refusal: {
            code: "body_too_large",
            outcome: "not_run",
            message: `the body exceeds ${maxBodyBytes} bytes`,
            data: { maxBodyBytes },
          },
          retryAfterMs: undefined,
        });
        return;
      }
      const call: CallerCall = {
        requestId,
        method: req.method ?? "GET",
        target: req.url ?? "/",
        host: req.headers.host,
        headers: endToEndHeaders(req.rawHeaders),
        body,
        receivedAt,
        deadlineMs: headerFields.deadlineMs,
        key: headerFields.key,
      };
      this.#answer(
        req,
        res,
        requestId,
        await router.handle(call, disconnected.signal),
      );
    } catch (err) {
      // A bug must fail only this request, not the whole router.
      logger.error(
        { err, reqId: requestId },
        "unexpected error while handling a request; resetting its connection",
      );
      res.socket?.resetAndDestroy();
      res.destroy();
    }
  }

  #answer(
    req: IncomingMessage,
    res: ServerResponse,
    requestId: string,
    outcome: CallOutcome,
  ): void {
    switch (outcome.kind) {
      case "gone":
        res.destroy();
        return;
      case "refused": {
        const { refusal, retryAfterMs } = outcome;
        const headers = this.#opts.protocol.refusalHeaders(
          requestId,
          retryAfterMs,
        );
        writeRefusal({ req, res, refusal, requestId, headers });
        return;
      }
      case "answered": {
        if (res.destroyed) return;
        const { status, headers, body, framed } = outcome;
        const bodiless = req.method === "HEAD" || status === 204 ||
          status === 304;
        if (framed && !bodiless) {
          headers["content-length"] = String(body.length);
        } else if (!bodiless) {
          // A content-length would make a truncated body look complete.
          res.shouldKeepAlive = false;
          res.removeHeader("transfer-encoding");
        }
        res.writeHead(status, headers);
        res.end(bodiless ? undefined : body);
      }
    }
  }
}

async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Uint8Array | undefined | "too_large" | "gone"> {
  if (!hasBody(req)) return undefined;
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maxBytes) return "too_large";
      chunks.push(chunk);
    }
  } catch {
    // The caller disconnected before the end of its body, so no answer is due.
    return "gone";
  }
  return Buffer.concat(chunks, size);
}
