import { connect, createServer, type Server, type Socket } from "node:net";
import { listenOn } from "../standins/listen_on.ts";
import type { LinkFault } from "./link_fault.ts";

type Held = { socket: Socket; data: Buffer | undefined };

/** Passes connections on to a loopback port, with faults in between. */
export class LoopbackProxy {
  readonly #target: number;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** What is sent on when nothing is held back any more. */
  #held: Held[] = [];
  #fault: LinkFault = { kind: "none" };

  /**
   * @param target - loopback port that connections are passed on to
   */
  constructor(target: number) {
    this.#target = target;
    this.#server = createServer((near) => this.#accept(near));
  }

  /**
   * @returns the port to connect to
   */
  listen(): Promise<number> {
    return listenOn(this.#server, 0);
  }

  /** Ends all connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** @param fault - what happens to connections from now on */
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

  #accept(near: Socket): void {
    const far = connect(this.#target, "127.0.0.1");
    for (const socket of [near, far]) {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      // The other side is told by `close`.
      socket.on("error", () => undefined);
    }
    if (this.#fault.kind === "reset") near.resetAndDestroy();
    this.#pass(near, far, "there");
    this.#pass(far, near, "back");
  }

  #pass(from: Socket, to: Socket, way: "there" | "back"): void {
    from.on("data", (data: Buffer) => this.#send(to, data, way));
    from.on("end", () => this.#send(to, undefined, way));
    from.on("close", (failed) => {
      this.#sockets.delete(from);
      if (failed) to.resetAndDestroy();
    });
  }

  #send(to: Socket, data: Buffer | undefined, way: "there" | "back"): void {
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
        if (way === "back") this.#held.push({ socket: to, data });
        else send();
        break;
    }
  }
}
