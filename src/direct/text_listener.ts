import { serve } from "@hono/node-server";
import { Hono } from "hono";
import type { Server } from "node:http";
import type { Clock } from "../base/clock.ts";
import type { ClientBudget } from "../limits/client_budget.ts";
import { ClientGate } from "../links/client_gate.ts";

type Page = { status: 200 | 503; text: string };

/**
 * Connections of one listener; a load balancer and a monitoring system have a
 * few.
 */
const MAX_CONNECTIONS = 64;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 15_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1000;

/** Serves one page of plain text. */
export class TextListener {
  readonly #app = new Hono();
  readonly #clients: { clock: Clock; budget: ClientBudget };
  #server: Server | undefined;

  /**
   * @param path - path of the page
   * @param page - returns the status and text of the page
   * @param clients - clock and budget of clients
   */
  constructor(
    path: string,
    page: () => Page | Promise<Page>,
    clients: { clock: Clock; budget: ClientBudget },
  ) {
    this.#clients = clients;
    this.#app.get(path, async (ctx) => {
      const { status, text } = await page();
      return ctx.text(text, status);
    });
  }

  /**
   * @param address - `IP:PORT`
   * @returns a promise that resolves when the page is served; rejects if the
   * address cannot be bound
   */
  listen(address: string): Promise<void> {
    const split = address.lastIndexOf(":");
    return new Promise((resolve, reject) => {
      this.#server = serve({
        fetch: this.#app.fetch,
        hostname: address.slice(0, split),
        port: Number(address.slice(split + 1)),
        serverOptions: {
          headersTimeout: HEADERS_TIMEOUT_MS,
          requestTimeout: REQUEST_TIMEOUT_MS,
          connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        },
      }, () => resolve()) as Server;
      new ClientGate(this.#server, {
        ...this.#clients,
        kind: "others",
        maxConnections: MAX_CONNECTIONS,
      });
      this.#server.once("error", reject);
    });
  }

  /** Closes the listening socket. */
  close(): void {
    this.#server?.close();
  }
}
