import { connect, type Socket } from "node:net";

type Behaviour = {
  port: number;
  connections: number;
  /** Sent once on each connection. */
  first?: string;
  /** Sent after it, again and again. */
  repeated?: string;
  /** Pause between repetitions in milliseconds; 0: as fast as possible. */
  pauseMs?: number;
  /** Whether each connection sends its end after `first`. */
  halfClose?: boolean;
  /** Whether a connection that is closed is opened again. */
  reconnect?: boolean;
};

/** Bytes of one write, so that a crowd keeps the process of the test busy. */
const WRITE_BYTES = 64 * 1024;
const RECONNECT_DELAY_MS = 50;

/** Clients that send what they are told and read nothing. */
export class ClientCrowd {
  readonly #behaviour: Behaviour;
  readonly #sockets = new Set<Socket>();
  readonly #timers = new Set<NodeJS.Timeout>();
  readonly #block: Buffer;
  #sending = true;

  /**
   * @param behaviour - port, number of connections and what each sends
   */
  constructor(behaviour: Behaviour) {
    this.#behaviour = behaviour;
    const { repeated = "", pauseMs = 0 } = behaviour;
    const repetitions = pauseMs > 0 || repeated === ""
      ? 1
      : Math.ceil(WRITE_BYTES / repeated.length);
    this.#block = Buffer.from(repeated.repeat(repetitions), "latin1");
    for (let n = 0; n < behaviour.connections; n++) this.#open();
  }

  /** Stops sending; the connections stay open and unread. */
  stopSending(): void {
    this.#sending = false;
    for (const timer of this.#timers) clearTimeout(timer);
  }

  /** Closes all connections. */
  close(): void {
    this.stopSending();
    for (const socket of this.#sockets) socket.destroy();
  }

  #open(): void {
    const { port, first, halfClose, reconnect } = this.#behaviour;
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    this.#sockets.add(socket);
    socket.pause();
    socket.on("error", () => undefined);
    socket.once("close", () => {
      this.#sockets.delete(socket);
      if (reconnect === true) {
        this.#later(RECONNECT_DELAY_MS, () => this.#open());
      }
    });
    socket.once("connect", () => {
      if (first !== undefined) socket.write(first, "latin1");
      if (halfClose === true) socket.end();
      else this.#send(socket);
    });
  }

  #send(socket: Socket): void {
    const { pauseMs = 0 } = this.#behaviour;
    if (!this.#sending || socket.destroyed || this.#block.length === 0) return;
    if (pauseMs > 0) {
      socket.write(this.#block);
      this.#later(pauseMs, () => this.#send(socket));
    } else {
      // A callback without the detour would starve the other sockets as long as
      // the kernel takes everything.
      socket.write(this.#block, () => setImmediate(() => this.#send(socket)));
    }
  }

  #later(ms: number, action: () => void): void {
    if (!this.#sending) return;
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      action();
    }, ms);
    this.#timers.add(timer);
  }
}
