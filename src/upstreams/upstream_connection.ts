import type { Socket } from "node:net";
import { Client } from "undici";
import type { Dispatcher } from "undici";
import type { Clock } from "../base/clock.ts";
import { openSocket } from "./open_socket.ts";

type Options = {
  /** `ip:port` of the upstream. */
  address: string;
  clock: Clock;
  onConnected: () => void;
  /** The connection was refused or timed out. */
  onConnectFailed: () => void;
  /** @param err - why an established connection is gone */
  onClosed: (err: Error) => void;
};
type Connector = Extract<
  NonNullable<Client.Options["connect"]>,
  (...args: never[]) => unknown
>;

/** `UpstreamConnections` closes idle connections by its own clock before. */
const IDLE_LIMIT_MS = 4000;

/** One connection to an upstream, for one request at a time. */
export class UpstreamConnection {
  readonly #options: Options;
  readonly #client: Client;
  #socket: Socket | undefined;
  #established = false;
  #gone = false;
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
      const wanted = this.#gone;
      this.destroy();
      if (!wanted) options.onClosed(err);
    });
  }

  /**
   * @returns whether a request can be sent without connecting first
   */
  get established(): boolean {
    return this.#established && !this.#gone;
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
  get gone(): boolean {
    return this.#gone;
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
    if (this.#gone) return;
    this.#gone = true;
    void this.#client.destroy();
    this.#socket?.destroy();
  }

  #connect(callback: Parameters<Connector>[1]): void {
    const { address, clock, onConnected, onConnectFailed } = this.#options;
    this.#socket = openSocket(address, clock, (err, socket) => {
      if (err !== undefined) {
        // The callback fails the request, which discards this connection.
        const wanted = this.#gone;
        callback(err, null);
        this.destroy();
        if (!wanted) onConnectFailed();
        return;
      }
      this.#established = true;
      // Before undici's own listener, which ends the answer.
      socket.once("error", () => {
        this.#reset = true;
      });
      callback(null, socket);
      onConnected();
    });
  }
}
