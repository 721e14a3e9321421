import { createServer, type Server, type Socket } from "node:net";

/** An upstream on a loopback port that writes the raw bytes a test chooses. */
export class RawUpstream {
  readonly #server: Server;
  port = 0;
  /** Connections accepted so far. */
  connections = 0;

  /**
   * @param onRequest - called with the socket and the text of each chunk read
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

  /** Listens on a free port. */
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
