import { isJSONRPCResponse, JSONRPC, type JSONRPCRequest } from "json-rpc-2.0";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { Pool } from "undici";
import type { z } from "zod";
import type { Clock } from "../base/clock.ts";
import { isHttpStatus } from "../base/is_http_status.ts";
import { untilAborted } from "../base/until_aborted.ts";
import { HOP_HEADER } from "../links/hop_header.ts";
import type { PeerClient } from "./peer_client.ts";
import type { PeerError } from "./peer_error.ts";
import { withTimeout } from "./with_timeout.ts";

const MAX_MESSAGE_BYTES = 1024 * 1024;
// Each long poll occupies a connection; short calls need further ones.
const MAX_CONNECTIONS_PER_PEER = 8;
/** A round trip between regions takes 40 ms. */
const CONNECT_TIMEOUT_MS = 1000;
// Shorter than the keep-alive timeout of Node's HTTP server (5 s), so that no
// call is sent on a connection that the server is closing.
const KEEP_ALIVE_TIMEOUT_MS = 4000;
// Peers are replaced daily, and the pool of a replaced peer would keep its
// memory.
const POOL_IDLE_TIMEOUT_MS = 600_000;

/** Carries a `PeerError` out of an async call; never leaves this file. */
class CallFailure extends Error {
  constructor(readonly error: PeerError) {
    super(error.message);
  }
}

function errorMessage(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}

async function readText(body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > MAX_MESSAGE_BYTES) {
      throw new CallFailure({
        kind: "malformed",
        message: `answer exceeds ${MAX_MESSAGE_BYTES} bytes`,
      });
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

/** Calls peers by JSON-RPC over HTTP, with a connection pool for each peer. */
export class HttpPeerClient implements PeerClient {
  readonly #pools = new Map<string, { pool: Pool; usedAt: number }>();
  readonly #credential: string;
  readonly #clock: Clock;
  #nextId = 1;

  /**
   * @param options - `credential` sent to peers, `clock` for timeouts, and
   * `signal`, which closes every connection when it aborts
   */
  constructor(
    options: { credential: string; clock: Clock; signal: AbortSignal },
  ) {
    this.#credential = options.credential;
    this.#clock = options.clock;
    options.signal.addEventListener("abort", () => this.#close(), {
      once: true,
    });
  }

  call<Schema extends z.ZodType>(
    call: {
      peerUrl: string;
      method: string;
      params: unknown;
      result: Schema;
      timeoutMs: number;
    },
    signal: AbortSignal,
  ): ResultAsync<z.infer<Schema>, PeerError> {
    return new ResultAsync(this.#call(call, signal));
  }

  async #call<Schema extends z.ZodType>(
    call: {
      peerUrl: string;
      method: string;
      params: unknown;
      result: Schema;
      timeoutMs: number;
    },
    signal: AbortSignal,
  ): Promise<Result<z.infer<Schema>, PeerError>> {
    const id = this.#nextId++;
    const request = {
      jsonrpc: JSONRPC,
      id,
      method: call.method,
      params: call.params,
    };
    let callSignal = signal;
    try {
      const answer = await withTimeout(
        { clock: this.#clock, ms: call.timeoutMs },
        signal,
        (combined) => {
          callSignal = combined;
          return untilAborted(
            this.#post(call.peerUrl, request, combined),
            combined,
          );
        },
      );
      const result = call.result.safeParse(answer);
      if (result.success) return ok(result.data);
      return err({
        kind: "malformed",
        message: `answer to ${call.method} does not match the schema`,
      });
    } catch (cause) {
      if (cause instanceof CallFailure) return err(cause.error);
      if (callSignal.aborted && !signal.aborted) {
        return err({
          kind: "timeout",
          message: `no answer to ${call.method} within ${call.timeoutMs} ms`,
        });
      }
      return err({ kind: "unreachable", message: errorMessage(cause) });
    }
  }

  /** Sends one request and returns the result in its response. */
  async #post(
    peerUrl: string,
    request: JSONRPCRequest,
    signal: AbortSignal,
  ): Promise<unknown> {
    const text = JSON.stringify(request);
    if (Buffer.byteLength(text) > MAX_MESSAGE_BYTES) {
      throw new CallFailure({
        kind: "malformed",
        message: `request exceeds ${MAX_MESSAGE_BYTES} bytes`,
      });
    }
    const { body, statusCode } = await this.#pool(peerUrl).request({
      path: "/rpc",
      method: "POST",
      headers: {
        "content-type": "application/json",
        [HOP_HEADER.credential]: this.#credential,
      },
      body: text,
      signal,
    });
    const answer = await readText(body);
    if (!isHttpStatus(statusCode)) {
      throw new CallFailure({
        kind: "malformed",
        message: `answer has the invalid status ${statusCode}`,
      });
    }
    let message: unknown;
    try {
      message = JSON.parse(answer);
    } catch {
      throw new CallFailure({
        kind: "malformed",
        message: "answer is not JSON",
      });
    }
    if (!isJSONRPCResponse(message)) {
      throw new CallFailure({
        kind: "malformed",
        message: "answer is not a JSON-RPC 2.0 response",
      });
    }
    if (message.error !== undefined) {
      // The id is not checked. It is null in errors that the server reports
      // before it has parsed the request.
      throw new CallFailure({
        kind: "rejected",
        code: message.error.code,
        message: message.error.message,
      });
    }
    if (message.id !== request.id) {
      throw new CallFailure({
        kind: "malformed",
        message: "answer carries the id of another request",
      });
    }
    return message.result;
  }

  #pool(peerUrl: string): Pool {
    const origin = new URL(peerUrl).origin;
    const usedAt = this.#clock.now();
    const known = this.#pools.get(origin);
    if (known !== undefined) {
      known.usedAt = usedAt;
      return known.pool;
    }
    for (const [otherOrigin, { pool, usedAt: lastUsedAt }] of this.#pools) {
      if (usedAt - lastUsedAt < POOL_IDLE_TIMEOUT_MS) continue;
      this.#pools.delete(otherOrigin);
      void pool.close().catch(() => undefined);
    }
    const pool = new Pool(origin, {
      connections: MAX_CONNECTIONS_PER_PEER,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
    });
    this.#pools.set(origin, { pool, usedAt });
    return pool;
  }

  #close(): void {
    for (const { pool } of this.#pools.values()) {
      void pool.destroy().catch(() => undefined);
    }
    this.#pools.clear();
  }
}
