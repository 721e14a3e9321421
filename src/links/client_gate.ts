import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../base/clock.ts";
import type { ClientBudget } from "../limits/client_budget.ts";
import type { ClientKind } from "../limits/client_kind.ts";
import { ClientConnection } from "./client_connection.ts";

type Options = {
  clock: Clock;
  budget: ClientBudget;
  kind: ClientKind;
  /** Most connections of this listener; Infinity for other VMs. */
  maxConnections: number;
};

const CHECK_INTERVAL_MS = 1000;
/**
 * Connections that made no progress for this long are closed when memory is
 * short. Clients within their limits send a head in one piece and read their
 * responses within a few round trips.
 */
const STALLED_MS = 2000;
/** The search for such connections looks at all of them. */
const RECLAIM_INTERVAL_MS = 100;

/** Applies the budget of clients to the connections of one HTTP server. */
export class ClientGate {
  readonly #opts: Options;
  readonly #connections = new Map<Socket, ClientConnection>();
  /** Connections without a complete head so far, the oldest first. */
  readonly #unused = new Set<ClientConnection>();
  /** Deliveries of pipelined requests and of parts of bodies in chunks. */
  readonly #deliveries: (() => void)[] = [];
  #reclaimedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param server - server that has not accepted a connection yet
   * @param opts - clock, budget and limits
   */
  constructor(server: Server, opts: Options) {
    this.#opts = opts;
    // The limit of lines is checked before a head is parsed. Node.js would drop
    // the lines above its own.
    server.maxHeadersCount = 0;
    server.on("connection", (socket: Socket) => this.#onConnection(socket));
    const onRequest = (req: IncomingMessage, res: ServerResponse) =>
      this.#connections.get(req.socket)?.onRequest(req, res);
    server.prependListener("request", onRequest);
    server.prependListener("checkContinue", onRequest);
    opts.budget.addReclaimer(() => this.#reclaim());
    const closed = new AbortController();
    server.once("close", () => closed.abort());
    server.once("listening", () => void this.#checkUntil(closed.signal));
  }

  /** @returns number of open connections */
  get connections(): number {
    return this.#connections.size;
  }

  /**
   * @param socket - socket of a request
   * @returns its connection; undefined if it is closed
   */
  connectionOf(socket: Socket): ClientConnection | undefined {
    return this.#connections.get(socket);
  }

  /**
   * Runs one delivery in a turn of the event loop. With one for each
   * connection, ordinary requests got no answer within 2 s beside 40 clients
   * that pipeline heads of 800 lines, on a busy machine.
   */
  #schedule(deliver: () => void): void {
    if (this.#deliveries.push(deliver) === 1) {
      setImmediate(() => this.#runDelivery());
    }
  }

  #runDelivery(): void {
    const deliver = this.#deliveries.shift();
    // An error of this delivery must not keep the others from running.
    if (this.#deliveries.length > 0) setImmediate(() => this.#runDelivery());
    deliver?.();
  }

  #onConnection(socket: Socket): void {
    const { budget, maxConnections } = this.#opts;
    if (this.#connections.size >= maxConnections && !this.#closeOne()) {
      budget.report("no_connection");
      socket.destroy();
      return;
    }
    const connection = new ClientConnection(socket, {
      ...this.#opts,
      onFirstRequest: (served) => this.#unused.delete(served),
      schedule: (deliver) => this.#schedule(deliver),
    });
    this.#connections.set(socket, connection);
    this.#unused.add(connection);
    socket.once("close", () => this.#remove(connection));
    if (connection.open()) return;
    budget.report("memory");
    this.#destroy(connection);
  }

  /**
   * Closes the oldest connection that has not sent a complete head, or else one
   * that is idle; nothing has run or will run on either of them.
   */
  #closeOne(): boolean {
    const [unused] = this.#unused;
    const victim = unused ?? this.#findIdle();
    if (victim === undefined) return false;
    this.#opts.budget.report("connections");
    this.#destroy(victim);
    return true;
  }

  #findIdle(): ClientConnection | undefined {
    for (const connection of this.#connections.values()) {
      if (connection.idle) return connection;
    }
    return undefined;
  }

  async #checkUntil(closed: AbortSignal): Promise<void> {
    while (!closed.aborted) {
      await this.#opts.clock.sleep(CHECK_INTERVAL_MS, closed);
      this.#check();
    }
  }

  #check(): void {
    const { budget, clock } = this.#opts;
    const now = clock.now();
    const deadline = now - budget.limits.unreadTimeoutMs;
    for (const connection of this.#connections.values()) {
      const since = connection.stalledSince(now);
      // Slow heads have a timeout of their own.
      if (since === undefined || since > deadline || !connection.unread) {
        continue;
      }
      budget.report("unread");
      this.#destroy(connection);
    }
  }

  #reclaim(): void {
    const { budget, clock } = this.#opts;
    const now = clock.now();
    if (now - this.#reclaimedAt < RECLAIM_INTERVAL_MS) return;
    this.#reclaimedAt = now;
    for (const connection of this.#connections.values()) {
      const since = connection.stalledSince(now);
      if (since === undefined || since > now - STALLED_MS) continue;
      budget.report("stalled");
      this.#destroy(connection);
    }
  }

  #destroy(connection: ClientConnection): void {
    this.#remove(connection);
    connection.destroy();
  }

  #remove(connection: ClientConnection): void {
    this.#connections.delete(connection.socket);
    this.#unused.delete(connection);
  }
}
