import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "../base/clock.ts";
import { DrainingServer } from "./draining_server.ts";
import type { HopServer } from "./hop_server.ts";

// The sender closes connections that were idle for 1 s, so that this side never
// closes one on which a request is arriving.
const KEEP_ALIVE_MS = 60_000;
// Headers that a hop adds to those of the caller.
const HOP_HEADER_BYTES = 8192;

/** The listener for other routers: JSON-RPC and requests over a peer hop. */
export class PeerListener {
  readonly #server: DrainingServer;

  /**
   * @param opts - clock, the limits of callers' headers, the handler of `/rpc`,
   * the server of `/hop` if requests hop between VMs, and the log
   */
  constructor(opts: {
    clock: Clock;
    requests: { maxHeaderBytes: number; headersTimeoutMs: number };
    rpc: (req: IncomingMessage, res: ServerResponse) => void;
    hop: Pick<HopServer, "handle"> | undefined;
    logger: { error(fields: Record<string, unknown>, message: string): void };
  }) {
    this.#server = new DrainingServer({
      clock: opts.clock,
      http: {
        maxHeaderSize: opts.requests.maxHeaderBytes + HOP_HEADER_BYTES,
        headersTimeout: opts.requests.headersTimeoutMs,
        // Requests end by their own deadline.
        requestTimeout: 0,
        keepAliveTimeout: KEEP_ALIVE_MS,
        noDelay: true,
      },
      handle: (req, res, expectsContinue) => {
        if (expectsContinue) res.writeContinue();
        const url = req.url ?? "";
        if (url === "/rpc") opts.rpc(req, res);
        else if (opts.hop !== undefined && url.startsWith("/hop/")) {
          opts.hop.handle(req, res).catch((err: unknown) => {
            // A broken invariant ends one request, not the router.
            opts.logger.error({ err }, "hop request failed");
            res.socket?.resetAndDestroy();
            res.destroy();
          });
        } else res.writeHead(404).end();
      },
      // Routers keep calling a coordinator until it has left.
      isAuxiliary: (req) => req.url === "/rpc",
    });
  }

  /**
   * @param address - `IP:PORT`; port 0 lets the system choose
   * @returns the port; rejects if the address cannot be listened on
   */
  listen(address: string): Promise<number> {
    return this.#server.listen(address);
  }

  /**
   * Stops without cutting a request.
   *
   * @param signal - ends the wait for connections on which nothing is in flight
   * @returns a promise that resolves when everything is closed
   */
  drain(signal: AbortSignal): Promise<void> {
    return this.#server.drain({ minMs: 0, signal });
  }

  /** Closes the listening socket and all connections at once. */
  close(): void {
    this.#server.close();
  }
}
