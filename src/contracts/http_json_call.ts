import { ResultAsync } from "neverthrow";
import { type Dispatcher, request } from "undici";
import { z } from "zod";
import type { HttpJsonError } from "./http_json_error.ts";

const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
const STATUS_OK = 200;

/** Codes of failures that happen before a connection is established. */
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

class StatusError extends Error {
  constructor(readonly status: number, readonly body: unknown) {
    super(`status ${status}`);
  }
}

class MalformedError extends Error {}

function toHttpJsonError(err: unknown): HttpJsonError {
  if (err instanceof StatusError) {
    const { status, body, message } = err;
    return { kind: "status", status, body, message };
  }
  const message = err instanceof Error ? err.message : String(err);
  if (err instanceof MalformedError) return { kind: "malformed", message };
  const code = (err as { code?: unknown }).code;
  if (typeof code === "string" && NOT_SENT_CODES.has(code)) {
    return { kind: "not_sent", message };
  }
  return { kind: "lost", message };
}

async function readText(body: AsyncIterable<Uint8Array>): Promise<string> {
  const parts: Uint8Array[] = [];
  let size = 0;
  for await (const part of body) {
    size += part.byteLength;
    if (size > MAX_ANSWER_BYTES) {
      throw new MalformedError(`answer exceeds ${MAX_ANSWER_BYTES} bytes`);
    }
    parts.push(part);
  }
  return Buffer.concat(parts).toString("utf8");
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new MalformedError("answer is not JSON");
  }
}

/**
 * Calls an HTTP endpoint that takes and returns JSON.
 *
 * @param call - method, URL, JSON body if any, schema of the answer, longest
 * wait in milliseconds, and the undici dispatcher that holds the connections
 * @param signal - cancels the call
 * @returns the answer as parsed by its schema, or the error
 */
export function httpJsonCall<Schema extends z.ZodType>(
  call: {
    dispatcher: Dispatcher;
    method: "GET" | "PUT" | "POST" | "DELETE";
    url: string;
    body?: unknown;
    answer: Schema;
    timeoutMs: number;
  },
  signal: AbortSignal,
): ResultAsync<z.infer<Schema>, HttpJsonError> {
  async function send(): Promise<z.infer<Schema>> {
    const res = await request(call.url, {
      dispatcher: call.dispatcher,
      method: call.method,
      signal: AbortSignal.any([signal, AbortSignal.timeout(call.timeoutMs)]),
      ...(call.body === undefined ? {} : {
        headers: { "content-type": "application/json" },
        body: JSON.stringify(call.body),
      }),
    });
    const text = await readText(res.body);
    if (res.statusCode !== STATUS_OK) {
      let body: unknown;
      try {
        body = JSON.parse(text);
      } catch {
        body = text;
      }
      throw new StatusError(res.statusCode, body);
    }
    const parsed = call.answer.safeParse(parseJson(text));
    if (!parsed.success) {
      throw new MalformedError(z.prettifyError(parsed.error));
    }
    return parsed.data;
  }
  return ResultAsync.fromPromise(send(), toHttpJsonError);
}
