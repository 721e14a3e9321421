import { serve, type ServerType } from "@hono/node-server";
import { Hono } from "hono";

type Page = { status: 200 | 503; text: string };

/** Serves one page of plain text. */
export class TextListener {
  readonly #app = new Hono();
  #server: ServerType | undefined;

  /**
   * @param path - path of the page
   * @param page - returns the status and text of the page
   */
  constructor(path: string, page: () => Page | Promise<Page>) {
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
      }, () => resolve());
      this.#server.once("error", reject);
    });
  }

  /** Closes the listening socket. */
  close(): void {
    this.#server?.close();
  }
}
