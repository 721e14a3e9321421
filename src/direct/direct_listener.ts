import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import { refuseUnparsableRequest } from "../entry/refuse_unparsable_request.ts";
import { ByteBudget } from "../limits/byte_budget.ts";
import { ClientBudget } from "../limits/client_budget.ts";
import { DrainingServer } from "../links/draining_server.ts";
import { endToEndHeaders } from "../links/end_to_end_headers.ts";
import { hasBody } from "../links/has_body.ts";
import { writeRefusal } from "../links/write_refusal.ts";
import { RequestCredential } from "../tenants/request_credential.ts";
import { withTimeout } from "../vms/with_timeout.ts";
import { afterNextPoll } from "../base/after_next_poll.ts";
import { CallerBody } from "./caller_body.ts";
import type { CallerCall } from "./caller_call.ts";
import type { CallOutcome } from "./call_outcome.ts";
import type { DirectMetrics } from "./direct_metrics.ts";
import type { DirectRouter } from "./direct_router.ts";
import type { WireProtocol } from "./wire_protocol.ts";

type Options = {
  clock: Clock;
  logger: Logger;
  router: Pick<DirectRouter, "admit" | "handle" | "timeoutMs" | "stopWithin">;
  protocol: WireProtocol;
  /** Current limit of a request's body, in bytes. */
  maxBodyBytes: () => number;
  /** Memory for the bodies of all requests, in bytes. */
  bodyMemoryBytes: number;
  metrics: Pick<DirectMetrics, "refusedBodies">;
  /** Shortest time for which a drain accepts connections, in milliseconds. */
  readinessDelayMs: number;
  /** Budget of clients; unlimited if undefined. */
  clients?: ClientBudget | undefined;
};

/** Above the limit in the configuration, which callers already respect. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Longest wait for a body if neither the caller nor a route sets a limit. */
const MAX_BODY_WAIT_MS = 30_000;
/**
 * Retry delay for callers whose bodies have no room; those of other requests
 * are released within some hundred milliseconds.
 */
const BODY_RETRY_AFTER_MS = 500;
const HEADERS_TIMEOUT_MS = 10_000;
const HEADERS_TIMEOUT_CHECK_INTERVAL_MS = 1000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/**
 * The listener closes an idle connection this much later than the caller does,
 * so that it closes none on which a request is arriving.
 */
const IDLE_TIMEOUT_MARGIN_MS = 2000;
const UNLIMITED_CLIENTS = {
  memoryBytes: Infinity,
  connections: Infinity,
  headerLines: Infinity,
  unreadTimeoutMs: Infinity,
};

/** Accepts callers' requests and writes the answers and refusals. */
export class DirectListener {
  readonly #opts: Options;
  readonly #server: DrainingServer;
  readonly #bodyMemory: ByteBudget;
  /** Fires when requests in flight can no longer be awaited. */
  readonly #cutOff = new ChangeNotifier();

  /**
   * @param opts - the router, the wire protocol, and the limits
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.#bodyMemory = new ByteBudget(opts.bodyMemoryBytes);
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
      clients: {
        budget: opts.clients ?? new ClientBudget(UNLIMITED_CLIENTS),
        kind: "callers",
      },
    });
    // Missing in the types. Without it, Node.js closes a connection as soon as
    // the caller sends its end, also while a request is in flight.
    Object.assign(this.#server.server, { httpAllowHalfOpen: true });
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
   * Stops without interrupting requests in flight, as long as `stopMs` allows.
   * Requests that are in flight after that time are answered, with an unknown
   * outcome, before the process is killed.
   *
   * @param opts - `stopMs`, the time until all requests must have ended, in
   * milliseconds, and a signal that ends the wait for idle connections
   * @returns a promise that resolves when all connections are closed
   */
  async drain(opts: { stopMs: number; signal: AbortSignal }): Promise<void> {
    const { clock, readinessDelayMs, router } = this.#opts;
    router.stopWithin(opts.stopMs);
    const drained = new AbortController();
    void clock.sleep(opts.stopMs, drained.signal).then(() => {
      if (!drained.signal.aborted) this.#cutOff.notify();
    });
    await this.#server.drain({
      minListenMs: readinessDelayMs,
      signal: opts.signal,
    });
    drained.abort();
  }

  async #handle(
    req: IncomingMessage,
    res: ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    const { clock, protocol, router, logger } = this.#opts;
    const receivedAt = clock.now();
    const disconnected = new AbortController();
    const closed = new AbortController();
    const onEnd = () => disconnected.abort();
    const connection = this.#server.clients?.connectionOf(req.socket);
    connection?.addEndListener(onEnd);
    req.on("error", () => undefined);
    res.once("close", () => {
      connection?.removeEndListener(onEnd);
      if (res.writableFinished) return;
      closed.abort();
      disconnected.abort();
    });
    const hasLeft = () =>
      disconnected.signal.aborted || req.socket.readableEnded;
    const headerFields = protocol.readCall(req.headers);
    const requestId = headerFields.requestId ?? randomUUID();
    const callerBody = new CallerBody(req, this.#bodyMemory);
    res.once("close", () => callerBody.release());
    try {
      const target = req.url ?? "/";
      const { host } = req.headers;
      const credential = new RequestCredential(() =>
        protocol.readCredential(req.rawHeaders)
      );
      const head = { requestId, host, target, credential };
      const refused = await router.admit(head);
      if (refused !== undefined) {
        // Whether the caller sends the body after this answer is not known.
        if (expectsContinue) res.shouldKeepAlive = false;
        this.#answer(req, res, requestId, refused);
        return;
      }
      if (expectsContinue) res.writeContinue();
      const read = hasBody(req)
        ? await this.#readBody(callerBody, {
          maxWaitMs: Math.min(
            headerFields.deadlineMs ?? MAX_BODY_WAIT_MS,
            router.timeoutMs(host, target) ?? MAX_BODY_WAIT_MS,
          ),
          disconnected: disconnected.signal,
        })
        : { kind: "read" as const, body: undefined };
      if (read.kind === "gone" || hasLeft()) {
        res.destroy();
        return;
      }
      if (read.kind !== "read") {
        this.#opts.metrics.refusedBodies.inc({ reason: read.kind });
        this.#answer(req, res, requestId, this.#bodyRefusal(read.kind));
        return;
      }
      const call: CallerCall = {
        ...head,
        method: req.method ?? "GET",
        headers: endToEndHeaders(req.rawHeaders),
        body: read.body,
        receivedAt,
        deadlineMs: headerFields.deadlineMs,
        key: headerFields.key,
      };
      await afterNextPoll();
      if (hasLeft()) {
        res.destroy();
        return;
      }
      this.#answer(
        req,
        res,
        requestId,
        await this.#serve(call, disconnected.signal, closed.signal),
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

  /** Serves a request, or answers it when it can no longer be awaited. */
  async #serve(
    call: CallerCall,
    disconnected: AbortSignal,
    closed: AbortSignal,
  ): Promise<CallOutcome> {
    const { router, logger } = this.#opts;
    const served = new AbortController();
    const outcome = await Promise.race([
      router.handle(call, disconnected, closed),
      this.#cutOff.next(served.signal).then(() => undefined),
    ]);
    served.abort();
    if (outcome !== undefined) return outcome;
    logger.warn({ reqId: call.requestId }, "request cut off by the stop");
    return {
      kind: "refused",
      refusal: {
        code: "deadline_exceeded",
        outcome: "outcome_unknown",
        message: "the router stops and can no longer wait for the answer",
      },
      retryAfterMs: undefined,
    };
  }

  #readBody(
    body: CallerBody,
    limits: { maxWaitMs: number; disconnected: AbortSignal },
  ): ReturnType<CallerBody["read"]> {
    return withTimeout(
      { clock: this.#opts.clock, ms: limits.maxWaitMs },
      limits.disconnected,
      (signal) => body.read(this.#opts.maxBodyBytes(), signal),
    );
  }

  #bodyRefusal(reason: "too_large" | "no_memory" | "slow"): CallOutcome {
    const outcome = "not_run";
    switch (reason) {
      case "too_large": {
        const maxBodyBytes = this.#opts.maxBodyBytes();
        const message = `the body exceeds ${maxBodyBytes} bytes`;
        return {
          kind: "refused",
          refusal: {
            code: "body_too_large",
            outcome,
            message,
            data: { maxBodyBytes },
          },
          retryAfterMs: undefined,
        };
      }
      case "no_memory": {
        const message = "no memory is left for the body";
        return {
          kind: "refused",
          refusal: { code: "overloaded", outcome, message },
          retryAfterMs: BODY_RETRY_AFTER_MS,
        };
      }
      case "slow": {
        const message = "the body did not arrive in time";
        return {
          kind: "refused",
          refusal: { code: "slow_sender", outcome, message },
          retryAfterMs: undefined,
        };
      }
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
        // The request has run, so that there is no refusal to send instead.
        const connection = this.#server.clients?.connectionOf(req.socket);
        if (connection?.hold(body.length) !== true) {
          this.#opts.clients?.report("memory");
          res.destroy();
          return;
        }
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
