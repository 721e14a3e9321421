import { createHash } from "node:crypto";
import { createServer, type IncomingMessage } from "node:http";
import { Agent, request } from "undici";
import { listenOn } from "../standins/listen_on.ts";

const VIRTUAL_NODES = 100;

function positionOf(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}

type Point = { position: number; address: string };

/**
 * Simple router that the benches compare with: consistent hashing for keyed
 * requests, round robin for others; no queue, no shares of limits, no retries.
 */
export class BaselineRouter {
  readonly #ring: Point[];
  readonly #agent = new Agent({ connections: 128 });
  readonly #server = createServer((req, res) => {
    this.#forward(req).then(({ status, headers, body }) => {
      res.writeHead(status, headers);
      body.pipe(res);
    }).catch(() => res.destroy());
  });
  #nextIndex = 0;

  /**
   * @param addresses - `ip:port` of every upstream of the one service
   */
  constructor(private readonly addresses: readonly string[]) {
    this.#ring = addresses.flatMap((address) =>
      Array.from({ length: VIRTUAL_NODES }, (_, index) => ({
        position: positionOf(`${address}#${index}`),
        address,
      }))
    ).sort((a, b) => a.position - b.position);
  }

  /**
   * Starts the server on a free loopback port.
   *
   * @returns the base URL
   */
  async start(): Promise<string> {
    return `http://127.0.0.1:${await listenOn(this.#server, 0)}`;
  }

  /** Closes the server and all connections. */
  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
    await this.#agent.destroy();
  }

  async #forward(req: IncomingMessage) {
    const key = req.headers["x-test-key"];
    const address = typeof key === "string" && key !== ""
      ? this.#ownerOf(key)
      : this.#nextAddress();
    const headers = { ...req.headers };
    delete headers.connection;
    delete headers.host;
    const res = await request(`http://${address}${req.url ?? "/"}`, {
      dispatcher: this.#agent,
      method: (req.method ?? "GET") as "GET",
      headers,
      body: req,
    });
    return { status: res.statusCode, headers: res.headers, body: res.body };
  }

  #ownerOf(key: string): string {
    const position = positionOf(key);
    const point =
      this.#ring.find((candidate) => candidate.position >= position) ??
        this.#ring[0];
    return point?.address ?? "";
  }

  #nextAddress(): string {
    this.#nextIndex = (this.#nextIndex + 1) % this.addresses.length;
    return this.addresses[this.#nextIndex] ?? "";
  }
}
