import { connect, type Socket } from "node:net";
import { ChangeNotifier } from "../../src/base/change_notifier.ts";

/** A caller that sends arbitrary bytes and records what it receives. */
export class RawCaller {
  readonly socket: Socket;
  /** Text received so far; tests may clear it. */
  text = "";
  readonly #changed = new ChangeNotifier();
  /** Error of the socket, if there was one. */
  socketError: NodeJS.ErrnoException | undefined;

  constructor(port: number) {
    this.socket = connect({ port, host: "127.0.0.1", noDelay: true });
    this.socket.setEncoding("latin1");
    this.socket.on("data", (part: string) => {
      this.text += part;
      this.#changed.notify();
    });
    this.socket.on("close", () => this.#changed.notify());
    this.socket.on("error", (err) => this.socketError = err);
  }

  write(text: string): this {
    this.socket.write(text, "latin1");
    return this;
  }

  /**
   * Waits until the received text matches; throws if the connection closes
   * before.
   */
  async until(pattern: RegExp): Promise<string> {
    while (!pattern.test(this.text)) {
      if (this.socket.closed) {
        throw new Error(
          `connection closed before ${String(pattern)}: ${this.text}`,
        );
      }
      await this.#changed.next();
    }
    return this.text;
  }

  /** Waits until the connection is closed. */
  async closed(): Promise<string> {
    while (!this.socket.closed) await this.#changed.next();
    return this.text;
  }
}
