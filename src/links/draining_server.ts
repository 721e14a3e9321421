import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import type { Clock } from "../base/clock.ts";

const CHECK_MS = 50;
// Linux allows this many by default. With 511, the default of Node.js, a burst
// of connections from all peers is dropped and repeated after 1 s.
const LISTEN_BACKLOG = 4096;
// A request that was sent on an idle connection before the sender learned of
// the drain arrives within a round trip between regions (40 ms) and a pause.
const QUIET_MS = 1000;

type Connection = {
  requests: number;
  /** Whether all requests so far were of a kind that does not delay a drain. */
  auxiliary: boolean;
  /** Received bytes when the last request ended. */
  bytesAtEnd: number;
  activeAt: number;
};

/**
 * An HTTP server that can stop without cutting a request: it keeps track of the
 * requests on each connection.
 */
export class DrainingServer {
  readonly #server: Server;
  readonly #clock: Clock;
  readonly #isAuxiliary: (req: IncomingMessage) => boolean;
  readonly #connections = new Map<Socket, Connection>();
  readonly #inFlight = new Set<ServerResponse>();
  #draining = false;
  /** When the last request that keeps a drain waiting arrived. */
  #lastWorkAt = Number.NEGATIVE_INFINITY;

  /**
   * @param opts - clock, options of Node's server, the handler, which may
   * return before the response has ended, and which requests do not keep a
   * drain waiting when they continue to arrive
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
  }) {
    this.#clock = opts.clock;
    this.#isAuxiliary = opts.isAuxiliary;
    this.#server = createServer(opts.http);
    const onRequest =
      (expectsContinue: boolean) =>
      (req: IncomingMessage, res: ServerResponse) => {
        this.#count(req, res);
        opts.handle(req, res, expectsContinue);
      };
    this.#server.on("request", onRequest(false));
    this.#server.on("checkContinue", onRequest(true));
    this.#server.on("connection", (socket: Socket) => this.#add(socket));
  }

  /**
   * @returns Node's server, for its events and settings
   */
  get server(): Server {
    return this.#server;
  }

  /**
   * @returns whether a drain has begun
   */
  get draining(): boolean {
    return this.#draining;
  }

  /**
   * @param socket - a connection
   * @returns the number of requests in flight on it
   */
  requestsOn(socket: Socket): number {
    return this.#connections.get(socket)?.requests ?? 0;
  }

  /**
   * @param address - `IP:PORT`; port 0 lets the system choose
   * @returns the port; rejects if the address cannot be listened on
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
   * Answers with `Connection: close` from now on, keeps serving until no
   * request is in flight and the connections are quiet, and then closes the
   * listening socket and all connections.
   *
   * @param opts - shortest time before the listening socket is closed, and a
   * signal that ends the wait for quiet connections; requests in flight are
   * awaited nevertheless
   */
  async drain(
    opts: { minMs: number; signal: AbortSignal },
  ): Promise<void> {
    this.#draining = true;
    for (const res of this.#inFlight) {
      if (!res.headersSent) res.setHeader("connection", "close");
    }
    const notBefore = this.#clock.now() + opts.minMs;
    while (
      !opts.signal.aborted &&
      (this.#clock.now() < notBefore || !this.#isQuiet())
    ) {
      await this.#clock.sleep(CHECK_MS, opts.signal);
    }
    // Unlike its override in `http`, this does not close idle connections, on
    // which a request may be arriving.
    NetServer.prototype.close.call(this.#server);
    // The time for the senders to learn of the drain is over.
    this.#server.closeIdleConnections();
    while (this.#inFlight.size > 0) await this.#clock.sleep(CHECK_MS);
    this.close();
  }

  /** Closes the listening socket and all connections at once. */
  close(): void {
    this.#draining = true;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #add(socket: Socket): void {
    const now = this.#clock.now();
    this.#connections.set(socket, {
      requests: 0,
      auxiliary: false,
      bytesAtEnd: 0,
      activeAt: now,
    });
    socket.once("close", () => this.#connections.delete(socket));
  }

  #count(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    connection.auxiliary = this.#isAuxiliary(req);
    if (!connection.auxiliary) this.#lastWorkAt = this.#clock.now();
    connection.requests++;
    this.#inFlight.add(res);
    if (this.#draining) res.setHeader("connection", "close");
    res.once("close", () => {
      connection.requests--;
      this.#inFlight.delete(res);
      connection.activeAt = this.#clock.now();
      connection.bytesAtEnd = socket.bytesRead;
    });
  }

  #isQuiet(): boolean {
    const before = this.#clock.now() - QUIET_MS;
    if (this.#lastWorkAt > before) return false;
    for (const [socket, connection] of this.#connections) {
      if (connection.auxiliary) continue;
      if (
        connection.requests > 0 || connection.activeAt > before ||
        // Part of the next request's headers is there.
        socket.bytesRead > connection.bytesAtEnd
      ) return false;
    }
    return true;
  }
}
