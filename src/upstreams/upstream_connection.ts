import type { Socket } from "node:net";
import { Client } from "undici";
import type { Dispatcher } from "undici";
import type { Clock } from "../base/clock.ts";
import { ConnectionRejected } from "./connection_rejected.ts";
import { openSocket } from "./open_socket.ts";

type Options = {
  /** `ip:port` of the upstream. */
  address: string;
  clock: Clock;
  onConnected: () => void;
  /** Sends nothing for one round trip, see `UpstreamConnections`. */
  awaitAcceptance: boolean;
  /** @param err - the connection was refused, timed out or reset at once */
  onConnectFailed: (err: Error) => void;
  /** @param err - why an established connection is gone */
  onClosed: (err: Error) => void;
};
type Connector = Extract<
  NonNullable<Client.Options["connect"]>,
  (...args: never[]) => unknown
>;

/** `UpstreamConnections` closes idle connections by its own clock before. */
const IDLE_LIMIT_MS = 4000;
/** A round trip between regions takes 40 ms. */
const MAX_ACCEPTANCE_MS = 60;
/** Added to a round trip, which may have been measured a little short. */
const ACCEPTANCE_SLACK_MS = 1;

/** One connection to an upstream, for one request at a time. */
export class UpstreamConnection {
  readonly #options: Options;
  readonly #client: Client;
  #socket: Socket | undefined;
  #established = false;
  #closed = false;
  #reset = false;

  /**
   * Connects when the first request is sent.
   *
   * @param options - where to connect, and whom to tell
   */
  constructor(options: Options) {
    this.#options = options;
    this.#client = new Client(`http://${options.address}`, {
      pipelining: 1,
      // Times of requests are kept by the dispatcher, on its clock.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_LIMIT_MS,
      keepAliveMaxTimeout: IDLE_LIMIT_MS,
      connect: (_options, callback) => this.#connect(callback),
    });
    this.#client.on("disconnect", (_url, _targets, err) => {
      const wanted = this.#closed;
      this.destroy();
      if (!wanted) options.onClosed(err);
    });
  }

  /**
   * @returns whether a request can be sent without connecting first
   */
  get established(): boolean {
    return this.#established && !this.#closed;
  }

  /**
   * @returns whether the other side has reset the connection. undici takes a
   * reset for the end of an answer that has no length.
   */
  get reset(): boolean {
    return this.#reset;
  }

  /**
   * @returns whether the connection is closed for good
   */
  get closed(): boolean {
    return this.#closed;
  }

  /**
   * @param options - the request
   * @param handler - receives the answer
   */
  send(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    this.#client.dispatch(options, handler);
  }

  /** Closes the connection at once; a request on it fails. */
  destroy(): void {
    if (this.#closed) return;
    this.#closed = true;
    void this.#client.destroy();
    this.#socket?.destroy();
  }

  #connect(callback: Parameters<Connector>[1]): void {
    const { address, clock, awaitAcceptance } = this.#options;
    const startedAt = clock.now();
    this.#socket = openSocket(address, clock, (err, socket) => {
      if (err !== undefined) {
        // A refusal comes from a port on which nothing listens, a reset from an
        // upstream.
        const { code } = err as NodeJS.ErrnoException;
        const rejected = awaitAcceptance && code === "ECONNRESET";
        this.#onFailed(
          rejected ? new ConnectionRejected(address) : err,
          callback,
        );
      } else if (!awaitAcceptance) this.#onEstablished(socket, callback);
      else {
        const roundTripMs = clock.now() - startedAt;
        void this.#awaitAcceptance(socket, roundTripMs, callback);
      }
    });
  }

  /** Too many connections are reset one round trip after they stand. */
  async #awaitAcceptance(
    socket: Socket,
    roundTripMs: number,
    callback: Parameters<Connector>[1],
  ): Promise<void> {
    const { address, clock } = this.#options;
    const closed = new AbortController();
    const onError = () => closed.abort();
    socket.once("error", onError);
    socket.once("close", onError);
    await clock.sleep(
      Math.min(MAX_ACCEPTANCE_MS, roundTripMs + ACCEPTANCE_SLACK_MS),
      closed.signal,
    );
    socket.off("close", onError);
    if (closed.signal.aborted) {
      this.#onFailed(new ConnectionRejected(address), callback);
      return;
    }
    this.#onEstablished(socket, callback);
    socket.off("error", onError);
  }

  #onFailed(err: Error, callback: Parameters<Connector>[1]): void {
    // The callback fails the request, which discards this connection.
    const wanted = this.#closed;
    callback(err, null);
    this.destroy();
    if (!wanted) this.#options.onConnectFailed(err);
  }

  #onEstablished(socket: Socket, callback: Parameters<Connector>[1]): void {
    this.#established = true;
    // Before undici's own listener, which ends the answer.
    socket.once("error", () => {
      this.#reset = true;
    });
    callback(null, socket);
    this.#options.onConnected();
  }
}
