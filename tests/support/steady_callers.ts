import { Agent } from "undici";
import { call } from "../../dev/bench/call.ts";
import type { CallResult } from "../../dev/bench/call_result.ts";

const CALL_TIMEOUT_MS = 120_000;

/** Callers that each send a request as soon as their previous one has ended. */
export class SteadyCallers {
  readonly results: CallResult[] = [];
  /** Base URLs of the routers, which receive requests in turn. */
  readonly urls: Set<string>;
  readonly #agent = new Agent();
  readonly #entries: readonly string[];
  readonly #callers: Promise<void>[];
  #sentRequests = 0;
  #stopped = false;

  /**
   * @param options - base URLs of the routers, names of the entries to call, and
   * number of concurrent callers
   */
  constructor(
    options: { urls: string[]; entries: readonly string[]; callers: number },
  ) {
    this.urls = new Set(options.urls);
    this.#entries = options.entries;
    this.#callers = Array.from({ length: options.callers }, async () => {
      while (!this.#stopped) await this.send(`key-${this.#sentRequests % 97}`);
    });
  }

  /**
   * Sends one request.
   *
   * @param key - key of the request
   * @returns the result, which is also appended to `results`
   */
  async send(key: string): Promise<CallResult> {
    const index = this.#sentRequests++;
    const urls = [...this.urls];
    const result = await call({
      dispatcher: this.#agent,
      url: urls[index % urls.length] ?? "",
      entry: this.#entries[index % this.#entries.length] ?? "",
      key,
      id: `request-${index}`,
      timeoutMs: CALL_TIMEOUT_MS,
    });
    this.results.push(result);
    return result;
  }

  /** Stops the callers, and waits until their last requests have ended. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#callers);
  }
}
