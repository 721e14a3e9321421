import { connect, createServer, type Server, type Socket } from "node:net";
import { listenOn } from "../standins/listen_on.ts";
import type { LinkFault } from "./link_fault.ts";

/** Data that a fault holds back; undefined for the end of the stream. */
type HeldData = { socket: Socket; data: Buffer | undefined };

/** Forwards connections to a loopback port and applies faults to them. */
export class LoopbackProxy {
  readonly #targetPort: number;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Data in order of arrival; the next change of the fault forwards it. */
  #held: HeldData[] = [];
  #fault: LinkFault = { kind: "none" };

  /**
   * @param targetPort - loopback port that connections are forwarded to
   */
  constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer((client) => this.#accept(client));
  }

  /**
   * @returns the port to connect to
   */
  listen(): Promise<number> {
    return listenOn(this.#server, 0);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /**
   * Replaces the fault and forwards the data that the earlier one held back.
   *
   * @param fault - fault of open and new connections from now on
   */
  setFault(fault: LinkFault): void {
    this.#fault = fault;
    if (fault.kind === "reset") {
      for (const socket of this.#sockets) socket.resetAndDestroy();
    }
    const held = this.#held;
    this.#held = [];
    for (const { socket, data } of held) {
      if (data === undefined) socket.end();
      else socket.write(data);
    }
  }

  #accept(client: Socket): void {
    const target = connect(this.#targetPort, "127.0.0.1");
    for (const socket of [client, target]) {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      // The `close` event resets the other side.
      socket.on("error", () => undefined);
    }
    if (this.#fault.kind === "reset") client.resetAndDestroy();
    this.#pipe(client, target, "to_target");
    this.#pipe(target, client, "to_client");
  }

  #pipe(from: Socket, to: Socket, direction: "to_target" | "to_client"): void {
    from.on("data", (data: Buffer) => this.#forward(to, data, direction));
    from.on("end", () => this.#forward(to, undefined, direction));
    from.on("close", (failed) => {
      this.#sockets.delete(from);
      if (failed) to.resetAndDestroy();
    });
  }

  #forward(
    to: Socket,
    data: Buffer | undefined,
    direction: "to_target" | "to_client",
  ): void {
    const send = () => {
      if (to.destroyed) return;
      if (data === undefined) to.end();
      else to.write(data);
    };
    switch (this.#fault.kind) {
      case "none":
      case "reset":
        send();
        break;
      case "delayed":
        setTimeout(send, this.#fault.ms);
        break;
      case "silent":
        this.#held.push({ socket: to, data });
        break;
      case "one_way":
        if (direction === "to_client") this.#held.push({ socket: to, data });
        else send();
        break;
    }
  }
}
