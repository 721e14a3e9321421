import { Agent } from "undici";
import { call } from "../../dev/bench/call.ts";
import type { CallResult } from "../../dev/bench/call_result.ts";

const CALL_TIMEOUT_MS = 120_000;

/** Callers that each send the next request once the last one has ended. */
export class SteadyCallers {
  readonly results: CallResult[] = [];
  /** Routers that are chosen in turn. */
  readonly urls: Set<string>;
  readonly #agent = new Agent();
  readonly #entries: readonly string[];
  readonly #callers: Promise<void>[];
  #count = 0;
  #stopped = false;

  /**
   * @param plan - base URLs of the routers, entries, number of callers
   */
  constructor(
    plan: { urls: string[]; entries: readonly string[]; callers: number },
  ) {
    this.urls = new Set(plan.urls);
    this.#entries = plan.entries;
    this.#callers = Array.from({ length: plan.callers }, async () => {
      while (!this.#stopped) await this.send(`key-${this.#count % 97}`);
    });
  }

  /**
   * @param key - key of the one request that is sent
   * @returns its result, which is also kept in `results`
   */
  async send(key: string): Promise<CallResult> {
    const index = this.#count++;
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

  /** Stops the callers and waits for every answer. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#callers);
  }
}
