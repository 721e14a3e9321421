import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setImmediate } from "node:timers/promises";

type Headers = Record<string, string>;
type Step =
  | { kind: "answer"; status?: number; headers?: Headers; body?: string }
  /** Answers when the promise resolves. */
  | { kind: "late"; until: Promise<void>; headers?: Headers }
  /** Reads the request and never answers. */
  | { kind: "silent" }
  /** Starts the answer and never ends it. */
  | { kind: "silent_in_body" }
  | { kind: "cut_before_answer" }
  | { kind: "cut_after_headers" }
  | { kind: "cut_in_body" };
type Received = {
  method: string;
  url: string;
  headers: IncomingMessage["headers"];
  body: string;
  connection: number;
  /** Whether the router has closed the request's connection. */
  closed: boolean;
};

/** An upstream over `node:http` whose answers the test scripts. */
export class ScriptedUpstream {
  readonly received: Received[] = [];
  /** Steps for the next requests, in order of arrival; then `defaultStep`. */
  steps: Step[] = [];
  defaultStep: Step = { kind: "answer" };
  maxConcurrent = 0;
  #inFlight = 0;
  #port = 0;
  #server: Server | undefined;
  readonly #sockets = new Map<Socket, number>();
  #connectionCount = 0;

  /** Starts to listen; after `stopListening` on the same port as before. */
  async listen(): Promise<void> {
    const server = createServer((req, res) => void this.#serve(req, res));
    server.keepAliveTimeout = 0;
    server.on("connection", (socket) => {
      this.#sockets.set(socket, this.#connectionCount++);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    server.listen(this.#port, "127.0.0.1");
    await once(server, "listening");
    this.#port = (server.address() as AddressInfo).port;
    this.#server = server;
  }

  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  /** Number of open connections. */
  get openConnections(): number {
    return this.#sockets.size;
  }

  /** Resets every connection and refuses new ones. */
  async stopListening(): Promise<void> {
    const server = this.#server;
    if (server === undefined) return;
    this.#server = undefined;
    server.close();
    this.resetConnections();
    await once(server, "close");
  }

  /** Resets every connection, like a process that was killed. */
  resetConnections(): void {
    for (const socket of this.#sockets.keys()) socket.resetAndDestroy();
  }

  /**
   * Waits until a condition that depends on network traffic holds.
   *
   * @param condition - evaluated after each turn of the event loop
   */
  async waitFor(condition: () => boolean): Promise<void> {
    while (!condition()) await setImmediate();
  }

  /**
   * Waits for requests.
   *
   * @param count - total number of requests that must have arrived
   */
  waitForRequests(count: number): Promise<void> {
    return this.waitFor(() => this.received.length >= count);
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const step = this.steps.shift() ?? this.defaultStep;
    this.#inFlight += 1;
    this.maxConcurrent = Math.max(this.maxConcurrent, this.#inFlight);
    const record: Received = {
      method: req.method ?? "",
      url: req.url ?? "",
      headers: req.headers,
      body: "",
      connection: this.#sockets.get(req.socket) ?? -1,
      closed: false,
    };
    res.on("close", () => {
      this.#inFlight -= 1;
      record.closed = !res.writableFinished;
    });
    req.on("error", () => undefined);
    try {
      for await (const chunk of req) record.body += String(chunk);
    } catch {
      return;
    }
    this.received.push(record);
    switch (step.kind) {
      case "answer":
        res.writeHead(step.status ?? 200, step.headers);
        res.end(step.body ?? "done");
        break;
      case "late":
        await step.until;
        res.writeHead(200, step.headers);
        res.end("late");
        break;
      case "silent":
        break;
      case "silent_in_body":
        res.writeHead(200);
        res.write("part");
        break;
      case "cut_before_answer":
        req.socket.destroy();
        break;
      case "cut_after_headers":
        res.writeHead(200, { "content-length": "10" });
        res.flushHeaders();
        await setImmediate();
        req.socket.destroy();
        break;
      case "cut_in_body":
        res.writeHead(200);
        res.write("part");
        await setImmediate();
        req.socket.destroy();
        break;
    }
  }
}
