import { Pool } from "undici";
import type { Clock } from "../base/clock.ts";
import type { DispatchOutcome } from "../upstreams/dispatch_outcome.ts";
import type { DispatchRequest } from "../upstreams/dispatch_request.ts";
import type { Dispatching } from "../upstreams/dispatching.ts";
import { HopExchange } from "./hop_exchange.ts";
import { HOP_HEADER } from "./hop_header.ts";

// Enough for the queues and slots of several upstreams of one peer, so that a
// slow upstream does not delay requests for the others.
const MAX_CONNECTIONS_PER_PEER = 256;
const MAX_PENDING_REQUESTS = 1024;
const CONNECT_TIMEOUT_MS = 500;
// A connection that was idle for longer may be dead without having been closed;
// a new one takes about 1 ms.
const IDLE_TIMEOUT_MS = 1000;
const TCP_KEEP_ALIVE_DELAY_MS = 1000;
const MAX_RESPONSE_HEADER_BYTES = 64 * 1024;
// The hop server sends an interim response (102) every 300 ms until it has a
// final one.
const SILENCE_TIMEOUT_MS = 1000;
const SILENCE_CHECK_INTERVAL_MS = 250;

/**
 * Sends requests over a peer hop: to the dispatchers on one other router, the
 * peer.
 */
export class HopClient implements Dispatching {
  readonly #clock: Clock;
  readonly #credential: string;
  readonly #pool: Pool;
  readonly #exchanges = new Set<HopExchange>();
  readonly #closed = new AbortController();

  /**
   * @param opts - clock, base URL of the peer's listener, and the credential
   * that all routers share
   */
  constructor(opts: {
    clock: Clock;
    peerUrl: string;
    credential: string;
  }) {
    this.#clock = opts.clock;
    this.#credential = opts.credential;
    this.#pool = new Pool(opts.peerUrl, {
      connections: MAX_CONNECTIONS_PER_PEER,
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
      connect: {
        timeout: CONNECT_TIMEOUT_MS,
        keepAlive: true,
        keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS,
      },
    });
    void this.#cancelSilentExchanges(this.#closed.signal);
  }

  /**
   * Accepts no more requests and closes the connections once those in flight
   * have ended.
   *
   * @param signal - aborts the requests that are still in flight
   */
  async close(signal: AbortSignal): Promise<void> {
    const destroy = () => {
      void this.#pool.destroy().catch(() => undefined);
    };
    signal.addEventListener("abort", destroy, { once: true });
    if (signal.aborted) destroy();
    await this.#pool.close().catch(() => undefined);
    signal.removeEventListener("abort", destroy);
    this.#closed.abort();
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
    if (this.#exchanges.size >= MAX_PENDING_REQUESTS) {
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

  /** Cancels exchanges whose connection is silent for more than 1 s. */
  async #cancelSilentExchanges(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#clock.sleep(SILENCE_CHECK_INTERVAL_MS, signal);
      const now = this.#clock.now();
      for (const exchange of this.#exchanges) {
        const since = exchange.silentSince;
        if (since !== undefined && now - since > SILENCE_TIMEOUT_MS) {
          exchange.cancel("the connection has gone silent");
        }
      }
    }
  }
}
