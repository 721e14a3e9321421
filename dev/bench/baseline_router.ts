import { createHash } from "node:crypto";
import { createServer, type IncomingMessage } from "node:http";
import { Agent, request } from "undici";
import { listenOn } from "../standins/listen_on.ts";

const VIRTUAL_NODES = 100;

function hash(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}

type Point = { at: number; address: string };

/**
 * The plain baseline that policies are compared with: consistent hashing for
 * keyed requests, round robin for others, no queue, no shares, no retries.
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
  #turn = 0;

  /**
   * @param addresses - `ip:port` of every upstream of the one service
   */
  constructor(private readonly addresses: readonly string[]) {
    this.#ring = addresses.flatMap((address) =>
      Array.from({ length: VIRTUAL_NODES }, (_, index) => ({
        at: hash(`${address}#${index}`),
        address,
      }))
    ).sort((a, b) => a.at - b.at);
  }

  /**
   * @returns the base URL
   */
  async start(): Promise<string> {
    return `http://127.0.0.1:${await listenOn(this.#server, 0)}`;
  }

  /** Ends the server and its connections. */
  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
    await this.#agent.destroy();
  }

  async #forward(req: IncomingMessage) {
    const key = req.headers["x-test-key"];
    const address = typeof key === "string" && key !== ""
      ? this.#owner(key)
      : this.#next();
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

  #owner(key: string): string {
    const at = hash(key);
    const point = this.#ring.find((one) => one.at >= at) ?? this.#ring[0];
    return point?.address ?? "";
  }

  #next(): string {
    this.#turn = (this.#turn + 1) % this.addresses.length;
    return this.addresses[this.#turn] ?? "";
  }
}
