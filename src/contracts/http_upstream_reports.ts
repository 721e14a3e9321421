import type { ResultAsync } from "neverthrow";
import { Agent } from "undici";
import { z } from "zod";
import { httpJsonCall } from "./http_json_call.ts";
import { UpstreamHealth } from "./upstream_health.ts";
import type { UpstreamReports } from "./upstream_reports.ts";

const DEFAULT_TIMEOUT_MS = 1000;
const LoadAnswer = z.looseObject({ load: z.number().nonnegative() });

type ReportError = { kind: "unavailable"; message: string };

/** Health and load endpoints of upstreams over HTTP. */
export class HttpUpstreamReports implements UpstreamReports {
  // No keep-alive (pipelining: 0), so that each health check opens its own
  // connection: a stalled one must not make a live upstream look lost.
  readonly #agent = new Agent({ connections: 1, pipelining: 0 });

  /**
   * @param timeoutMs - longest wait for an answer, in milliseconds
   */
  constructor(private readonly timeoutMs: number = DEFAULT_TIMEOUT_MS) {}

  health(
    address: string,
    signal: AbortSignal,
  ): ResultAsync<UpstreamHealth, ReportError> {
    return this.#read(address, "/health", UpstreamHealth, signal);
  }

  load(
    address: string,
    signal: AbortSignal,
  ): ResultAsync<{ load: number }, ReportError> {
    return this.#read(address, "/load", LoadAnswer, signal);
  }

  #read<Schema extends z.ZodType>(
    address: string,
    path: string,
    answer: Schema,
    signal: AbortSignal,
  ): ResultAsync<z.infer<Schema>, ReportError> {
    return httpJsonCall({
      dispatcher: this.#agent,
      method: "GET",
      url: `http://${address}${path}`,
      answer,
      timeoutMs: this.timeoutMs,
    }, signal).mapErr(({ message }) => ({ kind: "unavailable", message }));
  }

  /** Closes idle connections; calls in progress end first. */
  async close(): Promise<void> {
    await this.#agent.close();
  }
}
