import { createServer, type Server, type Socket } from "node:net";

/** An upstream that writes bytes as a test likes, on a loopback port. */
export class RawUpstream {
  readonly #server: Server;
  port = 0;
  connections = 0;

  /**
   * @param onRequest - called with the socket and the text of each read
   */
  constructor(onRequest: (socket: Socket, text: string) => void) {
    this.#server = createServer((socket) => {
      this.connections++;
      socket.setNoDelay(true);
      socket.on("error", () => undefined);
      socket.on(
        "data",
        (part: Buffer) => onRequest(socket, part.toString("latin1")),
      );
    });
  }

  /** Listens on a port of the system's choice. */
  async listen(): Promise<this> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => resolve())
    );
    const bound = this.#server.address();
    if (typeof bound === "object" && bound !== null) this.port = bound.port;
    return this;
  }

  close(): void {
    this.#server.close();
  }
}
