import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Agent } from "undici";
import { systemClock } from "../../src/base/system_clock.ts";
import { call } from "./call.ts";
import type { CallResult } from "./call_result.ts";

const SEND_INTERVAL_MS = 2;

type Plan = {
  /** Base URLs of the routers that receive the requests. */
  urls: readonly string[];
  entries: readonly string[];
  keys: readonly string[];
  ratePerS: number;
  seed: number;
};

/** Sends open-loop load: arrivals do not wait for earlier responses. */
export class LoadGenerator {
  readonly results: CallResult[] = [];
  readonly #agent = new Agent({ connections: 256, keepAliveTimeout: 4000 });
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  readonly #stop = new AbortController();
  readonly #removedUrls = new Set<string>();
  #sending: Promise<void> = Promise.resolve();
  #sentCount = 0;

  /**
   * @param plan - routers, entries, keys, requests a second, and random seed
   */
  constructor(private readonly plan: Plan) {
    this.#random = xoroshiro128plus(plan.seed);
  }

  /** Starts sending. */
  start(): void {
    this.#sending = this.#run();
  }

  /**
   * Stops sending to a router, as a load balancer does once it is not ready.
   *
   * @param url - base URL of the router
   */
  remove(url: string): void {
    this.#removedUrls.add(url);
  }

  /**
   * Stops sending and waits until every request has ended.
   *
   * @returns all results in order of their end
   */
  async stop(): Promise<CallResult[]> {
    this.#stop.abort();
    await this.#sending;
    await this.#agent.close();
    return this.results;
  }

  async #run(): Promise<void> {
    const { signal } = this.#stop;
    const pending = new Set<Promise<void>>();
    let nextAt = systemClock.now();
    while (!signal.aborted) {
      while (nextAt <= systemClock.now()) {
        const request = this.#send().finally(() => pending.delete(request));
        pending.add(request);
        // Exponential gaps make arrivals a Poisson process.
        nextAt += -Math.log(1 - uniformFloat64(this.#random)) * 1000 /
          this.plan.ratePerS;
      }
      await systemClock.sleep(SEND_INTERVAL_MS, signal);
    }
    await Promise.all(pending);
  }

  async #send(): Promise<void> {
    this.#sentCount += 1;
    this.results.push(
      await call({
        dispatcher: this.#agent,
        url: this.#pick(
          this.plan.urls.filter((url) => !this.#removedUrls.has(url)),
        ),
        entry: this.#pick(this.plan.entries),
        key: this.#pick(this.plan.keys),
        id: `r${this.plan.seed}-${this.#sentCount}`,
      }),
    );
  }

  #pick(values: readonly string[]): string {
    const value = values[uniformInt(this.#random, 0, values.length - 1)];
    if (value === undefined) throw new Error("no router, entry or key to pick");
    return value;
  }
}
