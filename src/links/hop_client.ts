import { Pool } from "undici";
import type { Clock } from "../base/clock.ts";
import type { DispatchOutcome } from "../upstreams/dispatch_outcome.ts";
import type { DispatchRequest } from "../upstreams/dispatch_request.ts";
import type { Dispatching } from "../upstreams/dispatching.ts";
import { HopExchange } from "./hop_exchange.ts";
import { HOP_HEADER } from "./hop_header.ts";

// Enough for the queues and slots of several upstreams of one dispatcher, so
// that a slow upstream does not hold up requests for the others.
const CONNECTIONS_PER_PEER = 256;
const MAX_PENDING = 1024;
const CONNECT_TIMEOUT_MS = 500;
// A connection that was idle for longer may have gone silent; a new one costs
// about 1 ms.
const IDLE_MS = 1000;
const TCP_KEEP_ALIVE_MS = 1000;
const MAX_RESPONSE_HEADER_BYTES = 64 * 1024;
// The hop server sends an interim answer every 300 ms until it has an answer.
const SILENT_MS = 1000;
const SILENT_CHECK_MS = 250;

/** Sends requests to the dispatchers on one other router. */
export class HopClient implements Dispatching {
  readonly #clock: Clock;
  readonly #credential: string;
  readonly #pool: Pool;
  readonly #exchanges = new Set<HopExchange>();
  readonly #ended = new AbortController();

  /**
   * @param opts - clock, base URL of the peer's listener, and credential of the
   * routers
   */
  constructor(opts: {
    clock: Clock;
    peerUrl: string;
    credential: string;
  }) {
    this.#clock = opts.clock;
    this.#credential = opts.credential;
    this.#pool = new Pool(opts.peerUrl, {
      connections: CONNECTIONS_PER_PEER,
      pipelining: 1,
      keepAliveTimeout: IDLE_MS,
      keepAliveMaxTimeout: IDLE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
      connect: {
        timeout: CONNECT_TIMEOUT_MS,
        keepAlive: true,
        keepAliveInitialDelay: TCP_KEEP_ALIVE_MS,
      },
    });
    void this.#watch(this.#ended.signal);
  }

  /**
   * Takes no more requests and closes the connections once those in flight have
   * ended.
   *
   * @param signal - cuts the requests that are still in flight
   */
  async close(signal: AbortSignal): Promise<void> {
    const cut = () => {
      void this.#pool.destroy().catch(() => undefined);
    };
    signal.addEventListener("abort", cut, { once: true });
    if (signal.aborted) cut();
    await this.#pool.close().catch(() => undefined);
    signal.removeEventListener("abort", cut);
    this.#ended.abort();
  }

  /** {@inheritDoc} */
  async dispatch(
    req: DispatchRequest,
    signal: AbortSignal,
  ): Promise<DispatchOutcome> {
    const refuse = (message: string): DispatchOutcome => ({
      kind: "refused",
      refusal: {
        code: "upstream_unavailable",
        outcome: "not_run",
        message,
        data: { failurePoint: "not_connected" },
      },
    });
    if (signal.aborted) return refuse("the request was cancelled");
    if (this.#exchanges.size >= MAX_PENDING) {
      return refuse("too many requests to one peer");
    }
    const exchange = new HopExchange(() => this.#clock.now(), () => {
      this.#exchanges.delete(exchange);
      signal.removeEventListener("abort", cancel);
    });
    const cancel = () => exchange.cancel("the request was cancelled");
    this.#exchanges.add(exchange);
    signal.addEventListener("abort", cancel, { once: true });
    try {
      this.#pool.dispatch({
        path: `/hop${req.target}`,
        method: req.method,
        headers: this.#headers(req),
        body: req.body ?? null,
        reset: false,
      }, exchange);
    } catch (err) {
      exchange.onResponseError(
        undefined as never,
        err instanceof Error ? err : new Error(String(err)),
      );
    }
    return await exchange.outcome;
  }

  #headers(req: DispatchRequest): Record<string, string | string[]> {
    const headers: Record<string, string | string[]> = {
      ...req.headers,
      [HOP_HEADER.credential]: this.#credential,
      [HOP_HEADER.requestId]: req.requestId,
      [HOP_HEADER.entry]: req.entry,
      [HOP_HEADER.service]: req.service,
      [HOP_HEADER.upstream]: req.upstream,
      [HOP_HEADER.rowRevision]: String(req.rowRevision),
      [HOP_HEADER.deadlineMs]: String(
        Math.max(0, Math.floor(req.deadlineAt - this.#clock.now())),
      ),
    };
    if (req.digest !== undefined) headers[HOP_HEADER.digest] = req.digest;
    return headers;
  }

  /** Ends exchanges whose connection has gone silent. */
  async #watch(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#clock.sleep(SILENT_CHECK_MS, signal);
      const now = this.#clock.now();
      for (const exchange of this.#exchanges) {
        const since = exchange.silentSince;
        if (since !== undefined && now - since > SILENT_MS) {
          exchange.cancel("the connection has gone silent");
        }
      }
    }
  }
}
