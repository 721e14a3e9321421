import { createServer, type Server, Socket } from "node:net";
import type { Clock } from "../../src/base/clock.ts";
import { listenOn } from "../standins/listen_on.ts";
import { hostClock } from "./host_clock.ts";
import type { LinkFault } from "./link_fault.ts";
import { ProxiedStream } from "./proxied_stream.ts";

type Direction = "to_target" | "to_client";

/** Forwards connections to a loopback port and applies faults to them. */
export class LoopbackProxy {
  readonly #targetPort: number;
  readonly #clock: Clock;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #streams = new Map<ProxiedStream, Direction>();
  #fault: LinkFault = { kind: "none" };

  /**
   * @param targetPort - loopback port that connections are forwarded to
   * @param clock - clock of the delays
   */
  constructor(targetPort: number, clock: Clock = hostClock) {
    this.#targetPort = targetPort;
    this.#clock = clock;
    // One side's end must not end the other before it is forwarded.
    this.#server = createServer(
      { allowHalfOpen: true },
      (client) => this.#accept(client),
    );
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
   * Replaces the fault and delivers what the earlier one held back.
   *
   * @param fault - fault of open and new connections from now on
   */
  setFault(fault: LinkFault): void {
    this.#fault = fault;
    if (fault.kind === "reset") {
      for (const socket of this.#sockets) socket.resetAndDestroy();
    }
    for (const [stream, direction] of this.#streams) {
      const delayMs = stream.opening
        ? this.#openDelayMs()
        : this.#delayMs(direction);
      if (delayMs === Infinity) stream.lose();
      else stream.recover();
    }
  }

  #accept(client: Socket): void {
    if (this.#fault.kind === "reset") {
      client.resetAndDestroy();
      return;
    }
    const target = new Socket({ allowHalfOpen: true });
    for (const socket of [client, target]) {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      // The `close` event resets the other side.
      socket.on("error", () => undefined);
    }
    const toTarget = this.#pipe(client, target, "to_target");
    this.#pipe(target, client, "to_client");
    toTarget.send("open", this.#openDelayMs());
  }

  #pipe(from: Socket, to: Socket, direction: Direction): ProxiedStream {
    const stream = new ProxiedStream(to, this.#targetPort, this.#clock);
    this.#streams.set(stream, direction);
    to.once("close", () => this.#streams.delete(stream));
    const send = (content: Parameters<ProxiedStream["send"]>[0]) =>
      stream.send(content, this.#delayMs(direction));
    from.on("data", send);
    from.on("end", () => send("end"));
    from.on("close", (failed) => {
      this.#sockets.delete(from);
      send(failed ? "reset" : "end");
    });
    return stream;
  }

  /** A connection is established by packets in both directions. */
  #openDelayMs(): number {
    return Math.max(this.#delayMs("to_target"), this.#delayMs("to_client"));
  }

  /** Returns the delay of new data in milliseconds; infinite if it is lost. */
  #delayMs(direction: Direction): number {
    switch (this.#fault.kind) {
      case "none":
      case "reset":
        return 0;
      case "delayed":
        return this.#fault.ms;
      case "silent":
        return Infinity;
      case "one_way":
        return direction === "to_client" ? Infinity : 0;
    }
  }
}
