import type { Socket } from "node:net";
import { Client } from "undici";
import type { Dispatcher } from "undici";
import type { Clock } from "../base/clock.ts";
import { AnswerMeter } from "./answer_meter.ts";
import { ConnectionRejected } from "./connection_rejected.ts";
import { openSocket } from "./open_socket.ts";
import type { UpstreamSocket } from "./upstream_socket.ts";

type Options = {
  /** `ip:port` of the upstream. */
  address: string;
  clock: Clock;
  onConnected: () => void;
  /**
   * Whether to wait one round trip before the first request, in case the
   * upstream resets the connection.
   */
  waitForAcceptance: boolean;
  /** @param err - a refusal, a timeout or a `ConnectionRejected` */
  onConnectFailed: (err: Error) => void;
  /** @param err - why an established connection was closed */
  onClosed: (err: Error) => void;
};
type Connector = Extract<
  NonNullable<Client.Options["connect"]>,
  (...args: never[]) => unknown
>;

/** `UpstreamConnections` limits idle times itself too, by its own clock. */
const UNDICI_IDLE_TIMEOUT_MS = 4000;
const FIRST_FINAL_STATUS = 200;
/** A round trip between regions takes 40 ms. */
const MAX_ACCEPTANCE_WAIT_MS = 60;
/** Added to the measured round trip, which may be slightly too short. */
const ACCEPTANCE_SLACK_MS = 1;

/** One connection to an upstream; carries one request at a time. */
export class UpstreamConnection {
  static #opened = 0;
  /** Identifies the connection in the logs of this process. */
  readonly number = ++UpstreamConnection.#opened;
  readonly #options: Options;
  readonly #client: Client;
  #socket: UpstreamSocket | undefined;
  #established = false;
  #closed = false;
  #reset = false;
  #meter: AnswerMeter | undefined;
  #metered = false;

  /**
   * Creates a connection that connects when the first request is sent.
   *
   * @param options - the upstream and the callbacks
   */
  constructor(options: Options) {
    this.#options = options;
    this.#client = new Client(`http://${options.address}`, {
      pipelining: 1,
      // The owner of the connection enforces timeouts, on its own clock.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: UNDICI_IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: UNDICI_IDLE_TIMEOUT_MS,
      connect: (_options, callback) => this.#connect(callback),
    });
    this.#client.on("disconnect", (_url, _targets, err) => {
      const expected = this.#closed;
      this.destroy();
      if (!expected) options.onClosed(err);
    });
  }

  /**
   * @returns whether a request can be sent without connecting first
   */
  get established(): boolean {
    return this.#established && !this.#closed;
  }

  /**
   * @returns whether the upstream has reset the connection. undici treats a
   * reset as the end of an answer that has no length.
   */
  get reset(): boolean {
    return this.#reset;
  }

  /**
   * @returns whether the connection is closed; it is never reopened
   */
  get closed(): boolean {
    return this.#closed;
  }

  /**
   * Sends a request. The connection is closed if the upstream sends far more
   * than the answer's body; the answer then fails.
   *
   * @param options - the request
   * @param handler - receives the answer
   */
  send(
    options: Dispatcher.DispatchOptions,
    handler: Required<
      Pick<
        Dispatcher.DispatchHandler,
        | "onRequestStart"
        | "onResponseStart"
        | "onResponseData"
        | "onResponseEnd"
        | "onResponseError"
      >
    >,
  ): void {
    this.#client.dispatch(options, {
      onRequestStart: (controller, context) => {
        this.#startMeter();
        handler.onRequestStart(controller, context);
        this.#resetOnDestroy(true);
      },
      onResponseStart: (controller, status, headers, message) => {
        if (status >= FIRST_FINAL_STATUS) {
          this.#meter?.onHead(this.#parsedBytes);
        }
        handler.onResponseStart(controller, status, headers, message);
      },
      onResponseData: (controller, chunk) => {
        this.#meter?.onBody(chunk.length);
        handler.onResponseData(controller, chunk);
      },
      onResponseEnd: (controller, trailers) => {
        this.#meter = undefined;
        this.#resetOnDestroy(false);
        handler.onResponseEnd(controller, trailers);
      },
      onResponseError: (controller, err) => {
        this.#meter = undefined;
        handler.onResponseError(controller, err);
      },
    });
  }

  /**
   * Closes the connection at once. A request on it fails, and the kernel
   * delivers no more of it.
   */
  destroy(): void {
    if (this.#closed) return;
    this.#closed = true;
    void this.#client.destroy();
    this.#socket?.destroy();
  }

  /** Covers each end of an exchange, also those that undici decides on. */
  #resetOnDestroy(reset: boolean): void {
    if (this.#socket !== undefined) this.#socket.resetOnDestroy = reset;
  }

  /** Bytes of the connection that undici has taken from the socket. */
  get #parsedBytes(): number {
    const socket = this.#socket;
    return socket === undefined ? 0 : socket.bytesRead - socket.readableLength;
  }

  #startMeter(): void {
    this.#meter = new AnswerMeter(this.#parsedBytes);
    if (this.#metered) return;
    this.#metered = true;
    // Called after undici's own listener, which has parsed what had arrived.
    this.#socket?.on("readable", () => {
      const err = this.#meter?.check(this.#parsedBytes);
      if (err !== undefined) this.#socket?.destroy(err);
    });
  }

  #connect(callback: Parameters<Connector>[1]): void {
    const { address, clock, waitForAcceptance } = this.#options;
    const startedAt = clock.now();
    this.#socket = openSocket(address, clock, (err, socket) => {
      if (err !== undefined) {
        // A refused connection means that nothing listens on the port; a reset
        // comes from a running upstream.
        const { code } = err as NodeJS.ErrnoException;
        const rejected = waitForAcceptance && code === "ECONNRESET";
        this.#onFailed(
          rejected ? new ConnectionRejected(address) : err,
          callback,
        );
      } else if (!waitForAcceptance) this.#onEstablished(socket, callback);
      else {
        const roundTripMs = clock.now() - startedAt;
        void this.#waitForAcceptance(socket, roundTripMs, callback);
      }
    });
  }

  /**
   * Waits for one round trip: an upstream with too many connections resets a
   * new one within that time after it is established.
   */
  async #waitForAcceptance(
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
      Math.min(MAX_ACCEPTANCE_WAIT_MS, roundTripMs + ACCEPTANCE_SLACK_MS),
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
    const expected = this.#closed;
    callback(err, null);
    this.destroy();
    if (!expected) this.#options.onConnectFailed(err);
  }

  #onEstablished(socket: Socket, callback: Parameters<Connector>[1]): void {
    this.#established = true;
    // Registered before undici's own listener, which ends the answer.
    socket.once("error", () => {
      this.#reset = true;
    });
    callback(null, socket);
    this.#options.onConnected();
  }
}
