import { ResultAsync } from "neverthrow";
import { Agent, request } from "undici";
import type { ObjectError } from "./object_error.ts";
import type { ObjectStore } from "./object_store.ts";

const DEFAULT_TIMEOUT_MS = 5000;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;

class UnavailableError extends Error {}

function toObjectError(err: unknown): ObjectError {
  const message = err instanceof Error ? err.message : String(err);
  const code = (err as { code?: unknown }).code;
  return err instanceof UnavailableError || code === "ECONNREFUSED"
    ? { kind: "unavailable", message }
    : { kind: "unknown", message };
}

/** The object store over HTTP. */
export class HttpObjectStore implements ObjectStore {
  readonly #agent = new Agent({ connections: 2, keepAliveTimeout: 4000 });

  /**
   * @param baseUrl - URL of the service without a path
   * @param timeoutMs - longest wait for an answer, in milliseconds
   */
  constructor(
    private readonly baseUrl: string,
    private readonly timeoutMs: number = DEFAULT_TIMEOUT_MS,
  ) {}

  put(
    name: string,
    body: Uint8Array,
    signal: AbortSignal,
  ): ResultAsync<void, ObjectError> {
    return this.#call("PUT", name, signal, body).map(() => undefined);
  }

  get(
    name: string,
    signal: AbortSignal,
  ): ResultAsync<Uint8Array | undefined, ObjectError> {
    return this.#call("GET", name, signal);
  }

  delete(name: string, signal: AbortSignal): ResultAsync<void, ObjectError> {
    return this.#call("DELETE", name, signal).map(() => undefined);
  }

  #call(
    method: "PUT" | "GET" | "DELETE",
    name: string,
    signal: AbortSignal,
    body?: Uint8Array,
  ): ResultAsync<Uint8Array | undefined, ObjectError> {
    const path = name.split("/").map(encodeURIComponent).join("/");
    const send = async () => {
      const res = await request(`${this.baseUrl}/v1/objects/${path}`, {
        dispatcher: this.#agent,
        method,
        body: body ?? null,
        signal: AbortSignal.any([signal, AbortSignal.timeout(this.timeoutMs)]),
      });
      const content = new Uint8Array(await res.body.arrayBuffer());
      if (res.statusCode === STATUS_NOT_FOUND) return undefined;
      if (res.statusCode === STATUS_UNAVAILABLE) {
        throw new UnavailableError("object store is unavailable");
      }
      if (res.statusCode !== STATUS_OK) {
        throw new Error(`object store answered ${res.statusCode}`);
      }
      return content;
    };
    return ResultAsync.fromPromise(send(), toObjectError);
  }

  /** Closes idle connections; calls in progress end first. */
  async close(): Promise<void> {
    await this.#agent.close();
  }
}
