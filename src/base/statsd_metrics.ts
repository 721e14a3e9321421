import { StatsD } from "hot-shots";
import type { Logger } from "./logger.ts";
import type { MetricName } from "./metric_name.ts";
import type { MetricTags } from "./metric_tags.ts";
import type { Metrics } from "./metrics.ts";

// Sending a metric costs about 8 µs, and a router times each request twice. The
// server scales counts by the sample rate; percentiles need only a sample.
const TIMING_SAMPLE_RATE = 0.1;

/** Sends metrics to a StatsD server over UDP; sends none without an address. */
export class StatsdMetrics implements Metrics {
  readonly #client: StatsD | undefined;

  /**
   * @param cfg - `address` is `ip:port`; without it nothing is sent
   * @param log - logs send errors, at debug level because UDP may lose packets
   * anyway
   */
  constructor(
    cfg: { address: string | undefined; prefix: string; vm: string },
    log: Logger,
  ) {
    if (cfg.address === undefined) return;
    const colon = cfg.address.lastIndexOf(":");
    const host = cfg.address.slice(0, colon);
    const port = cfg.address.slice(colon + 1);
    this.#client = new StatsD({
      host,
      port: Number(port),
      prefix: cfg.prefix,
      globalTags: { vm: cfg.vm },
      // Sends a packet when 1400 bytes are buffered or after 100 ms, which
      // keeps the cost of a request low.
      maxBufferSize: 1400,
      bufferFlushInterval: 100,
      errorHandler: (err) => log.debug({ err }, "metrics were not sent"),
    });
  }

  increment(
    name: MetricName<"counter">,
    value: number,
    tags: MetricTags,
  ): void {
    this.#client?.increment(name, value, tags);
  }

  gauge(name: MetricName<"gauge">, value: number, tags: MetricTags): void {
    this.#client?.gauge(name, value, tags);
  }

  timing(name: MetricName<"timing">, ms: number, tags: MetricTags): void {
    this.#client?.timing(name, ms, TIMING_SAMPLE_RATE, tags);
  }

  /** Sends the buffered metrics and closes the socket. */
  close(): Promise<void> {
    const client = this.#client;
    if (client === undefined) return Promise.resolve();
    return new Promise((resolve) => client.close(() => resolve()));
  }
}
