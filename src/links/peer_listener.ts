import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "../base/clock.ts";
import type { ClientBudget } from "../limits/client_budget.ts";
import { DrainingServer } from "./draining_server.ts";
import type { HopServer } from "./hop_server.ts";

// Longer than the idle timeout of the senders (1 s), so that the listener never
// closes a connection on which a request is arriving.
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
// Space for the headers that a peer hop adds to those of the caller.
const MAX_HOP_HEADER_BYTES = 8192;

/** Listens for other routers: JSON-RPC and requests over a peer hop. */
export class PeerListener {
  readonly #server: DrainingServer;

  /**
   * @param opts - clock, the limits of callers' headers, the handler of `/rpc`,
   * the handler of `/hop/` if this process accepts requests of other routers,
   * the budget of clients, which limits their memory and never the number of
   * connections of other VMs, and the log
   */
  constructor(opts: {
    clock: Clock;
    requests: { maxHeaderBytes: number; headersTimeoutMs: number };
    rpc: (req: IncomingMessage, res: ServerResponse) => void;
    hop: Pick<HopServer, "handle"> | undefined;
    clients?: ClientBudget | undefined;
    logger: { error(fields: Record<string, unknown>, message: string): void };
  }) {
    this.#server = new DrainingServer({
      clock: opts.clock,
      http: {
        maxHeaderSize: opts.requests.maxHeaderBytes + MAX_HOP_HEADER_BYTES,
        headersTimeout: opts.requests.headersTimeoutMs,
        // The deadline of each request limits its time instead.
        requestTimeout: 0,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        noDelay: true,
      },
      handle: (req, res, expectsContinue) => {
        if (expectsContinue) res.writeContinue();
        const url = req.url ?? "";
        if (url === "/rpc") opts.rpc(req, res);
        else if (opts.hop !== undefined && url.startsWith("/hop/")) {
          opts.hop.handle(req, res).catch((err: unknown) => {
            // An unexpected error must end only this request, not the router.
            opts.logger.error(
              { err },
              "unexpected error in a hop request; resetting its connection",
            );
            res.socket?.resetAndDestroy();
            res.destroy();
          });
        } else res.writeHead(404).end();
      },
      // Routers keep calling a coordinator until it has deregistered.
      isAuxiliary: (req) => req.url === "/rpc",
      clients: opts.clients && { budget: opts.clients, kind: "others" },
    });
  }

  /**
   * @param address - `IP:PORT`; port 0 lets the system choose
   * @returns the port; rejects if the server cannot listen on the address
   */
  listen(address: string): Promise<number> {
    return this.#server.listen(address);
  }

  /**
   * Stops without aborting a request.
   *
   * @param signal - ends the wait for quiet connections
   * @returns a promise that resolves when all connections are closed
   */
  drain(signal: AbortSignal): Promise<void> {
    return this.#server.drain({ minListenMs: 0, signal });
  }

  /**
   * Closes the listening socket and all connections without waiting, also
   * those with a request in flight.
   */
  close(): void {
    this.#server.close();
  }
}
