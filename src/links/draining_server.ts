import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { afterNextPoll } from "../base/after_next_poll.ts";
import type { Clock } from "../base/clock.ts";
import type { ClientBudget } from "../limits/client_budget.ts";
import type { ClientKind } from "../limits/client_kind.ts";
import { ClientGate } from "./client_gate.ts";

/** Interval of the checks whether a drain may proceed. */
const DRAIN_CHECK_MS = 50;
// The default limit of Linux (net.core.somaxconn). With 511, the default of
// Node.js, connections of a burst from all peers are dropped and retried after
// 1 s.
const LISTEN_BACKLOG = 4096;
// A request that was sent on an idle connection before the sender learned of
// the drain arrives within a round trip between regions (40 ms) and a pause of
// a process.
const QUIET_PERIOD_MS = 1000;

type Connection = {
  inFlight: number;
  /** Whether the last request was of a kind that does not delay a drain. */
  auxiliary: boolean;
  /** Bytes received on the connection when its last request ended. */
  bytesReadAtRequestEnd: number;
  lastActiveAt: number;
};

/**
 * An HTTP server that can stop without aborting a request. Tracks the requests
 * in flight on each connection.
 */
export class DrainingServer {
  readonly #server: Server;
  /** Limits what the connections hold; undefined without a budget. */
  readonly clients: ClientGate | undefined;
  readonly #clock: Clock;
  readonly #isAuxiliary: (req: IncomingMessage) => boolean;
  readonly #connections = new Map<Socket, Connection>();
  readonly #inFlight = new Set<ServerResponse>();
  #draining = false;
  /** When the last request that delays a drain arrived. */
  #lastRequestAt = Number.NEGATIVE_INFINITY;

  /**
   * @param opts - clock, options of the Node.js server, the handler, which may
   * return before the response has ended, a predicate for auxiliary requests,
   * whose continued arrival does not delay a drain, and the budget of clients
   * if there is one
   */
  constructor(opts: {
    clock: Clock;
    http: ServerOptions;
    handle: (
      req: IncomingMessage,
      res: ServerResponse,
      expectsContinue: boolean,
    ) => void;
    isAuxiliary: (req: IncomingMessage) => boolean;
    clients?: { budget: ClientBudget; kind: ClientKind } | undefined;
  }) {
    this.#clock = opts.clock;
    this.#isAuxiliary = opts.isAuxiliary;
    this.#server = createServer(opts.http);
    const onRequest =
      (expectsContinue: boolean) =>
      (req: IncomingMessage, res: ServerResponse) => {
        this.#trackRequest(req, res);
        opts.handle(req, res, expectsContinue);
      };
    this.#server.on("request", onRequest(false));
    this.#server.on("checkContinue", onRequest(true));
    this.#server.on(
      "connection",
      (socket: Socket) => this.#trackConnection(socket),
    );
    if (opts.clients === undefined) return;
    const { budget, kind } = opts.clients;
    this.clients = new ClientGate(this.#server, {
      clock: opts.clock,
      budget,
      kind,
      maxConnections: kind === "callers" ? budget.limits.connections : Infinity,
    });
  }

  /**
   * @returns the Node.js server, for its events and settings
   */
  get server(): Server {
    return this.#server;
  }

  /**
   * @returns whether a drain has begun or the server is closed
   */
  get draining(): boolean {
    return this.#draining;
  }

  /**
   * @param socket - a connection
   * @returns the number of requests in flight on it
   */
  requestsInFlightOn(socket: Socket): number {
    return this.#connections.get(socket)?.inFlight ?? 0;
  }

  /**
   * @param address - `IP:PORT`; port 0 lets the system choose
   * @returns the port; rejects if the server cannot listen on the address
   */
  async listen(address: string): Promise<number> {
    const split = address.lastIndexOf(":");
    const host = address.slice(0, split).replace(/^\[|\]$/g, "");
    const port = Number(address.slice(split + 1));
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, LISTEN_BACKLOG, () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
    const bound = this.#server.address();
    return typeof bound === "object" ? bound?.port ?? 0 : 0;
  }

  /**
   * Responds with `Connection: close` from now on, keeps serving until no
   * request is in flight and the connections are quiet, and then closes the
   * listening socket and all connections.
   *
   * @param opts - shortest time in milliseconds before the listening socket is
   * closed, and a signal that ends the wait for quiet connections; requests in
   * flight are awaited even then
   */
  async drain(
    opts: { minListenMs: number; signal: AbortSignal },
  ): Promise<void> {
    this.#draining = true;
    for (const res of this.#inFlight) {
      if (!res.headersSent) res.setHeader("connection", "close");
    }
    const notBefore = this.#clock.now() + opts.minListenMs;
    while (
      !opts.signal.aborted &&
      (this.#clock.now() < notBefore || !this.#isQuiet())
    ) {
      await this.#clock.sleep(DRAIN_CHECK_MS, opts.signal);
    }
    // Stops listening only. The override in `http` would also close idle
    // connections, on which a request may be arriving.
    NetServer.prototype.close.call(this.#server);
    // By now the senders have learned of the drain or the wait was ended.
    for (;;) {
      // A request that a busy process has not read yet looks like none.
      await afterNextPoll();
      this.#closeIdle();
      if (this.#inFlight.size === 0) break;
      await this.#clock.sleep(DRAIN_CHECK_MS);
    }
    this.close();
  }

  /**
   * Closes the listening socket and all connections without waiting, also
   * those with a request in flight.
   */
  close(): void {
    this.#draining = true;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #trackConnection(socket: Socket): void {
    const now = this.#clock.now();
    this.#connections.set(socket, {
      inFlight: 0,
      auxiliary: false,
      bytesReadAtRequestEnd: 0,
      lastActiveAt: now,
    });
    socket.once("close", () => this.#connections.delete(socket));
  }

  #trackRequest(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    connection.auxiliary = this.#isAuxiliary(req);
    if (!connection.auxiliary) this.#lastRequestAt = this.#clock.now();
    connection.inFlight++;
    this.#inFlight.add(res);
    if (this.#draining) res.setHeader("connection", "close");
    res.once("close", () => {
      connection.inFlight--;
      this.#inFlight.delete(res);
      connection.lastActiveAt = this.#clock.now();
      connection.bytesReadAtRequestEnd = socket.bytesRead;
    });
  }

  /**
   * Closes the connections without a request in flight. The method of Node.js
   * would also close those whose answer the caller has not taken yet.
   */
  #closeIdle(): void {
    for (const [socket, connection] of this.#connections) {
      if (connection.inFlight === 0 && !hasPartialRequest(socket, connection)) {
        socket.destroy();
      }
    }
  }

  #isQuiet(): boolean {
    const quietSince = this.#clock.now() - QUIET_PERIOD_MS;
    if (this.#lastRequestAt > quietSince) return false;
    for (const [socket, connection] of this.#connections) {
      if (connection.auxiliary) continue;
      if (
        connection.inFlight > 0 || connection.lastActiveAt > quietSince ||
        hasPartialRequest(socket, connection)
      ) return false;
    }
    return true;
  }
}

/** Returns whether part of the next request's headers has arrived. */
function hasPartialRequest(socket: Socket, connection: Connection): boolean {
  return socket.bytesRead > connection.bytesReadAtRequestEnd;
}
