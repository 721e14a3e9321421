import type { ResultAsync } from "neverthrow";
import { Agent } from "undici";
import type { Grant } from "./grant.ts";
import { GrantState } from "./grant_state.ts";
import { httpJsonCall } from "./http_json_call.ts";
import type { HttpJsonError } from "./http_json_error.ts";
import type { UpstreamGrants } from "./upstream_grants.ts";

const DEFAULT_TIMEOUT_MS = 1000;
const STATUS_CONFLICT = 409;

type GrantError =
  | { kind: "superseded"; state: GrantState }
  | { kind: "unavailable"; message: string };

function toGrantError(err: HttpJsonError): GrantError {
  if (err.kind === "status" && err.status === STATUS_CONFLICT) {
    const state = GrantState.safeParse(err.body);
    if (state.success) return { kind: "superseded", state: state.data };
  }
  return { kind: "unavailable", message: err.message };
}

/** Fenced grants of upstreams over HTTP. */
export class HttpUpstreamGrants implements UpstreamGrants {
  readonly #agent = new Agent({ connections: 2, keepAliveTimeout: 4000 });

  /**
   * @param timeoutMs - longest wait for an answer, in milliseconds
   */
  constructor(private readonly timeoutMs: number = DEFAULT_TIMEOUT_MS) {}

  read(
    address: string,
    signal: AbortSignal,
  ): ResultAsync<GrantState, GrantError> {
    return httpJsonCall({
      dispatcher: this.#agent,
      method: "GET",
      url: `http://${address}/grants`,
      answer: GrantState,
      timeoutMs: this.timeoutMs,
    }, signal).mapErr(toGrantError);
  }

  put(
    address: string,
    grant: Grant,
    signal: AbortSignal,
  ): ResultAsync<GrantState, GrantError> {
    return httpJsonCall({
      dispatcher: this.#agent,
      method: "PUT",
      url: `http://${address}/grants`,
      body: grant,
      answer: GrantState,
      timeoutMs: this.timeoutMs,
    }, signal).mapErr(toGrantError);
  }

  /** Closes idle connections; calls in progress end first. */
  async close(): Promise<void> {
    await this.#agent.close();
  }
}
