import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  createJSONRPCErrorResponse,
  isJSONRPCRequest,
  JSONRPCErrorException,
  JSONRPCServer,
} from "json-rpc-2.0";
import type { Logger } from "../base/logger.ts";
import { HOP_HEADER } from "./hop_header.ts";
import type { RpcHandler } from "./rpc_handler.ts";

const MAX_BODY_BYTES = 1024 * 1024;
const JSON_RPC_ERROR = {
  parse: -32700,
  invalidRequest: -32600,
  methodNotFound: -32601,
  invalidParams: -32602,
  internal: -32603,
  // First code of the range that JSON-RPC reserves for servers.
  unauthorized: -32000,
} as const;

function sha256(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}

/** Reads a body; returns undefined as soon as it exceeds the limit. */
async function readBody(req: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
  if (res.destroyed) return;
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  res.end(text);
}

function sendError(
  res: ServerResponse,
  status: number,
  error: { code: number; message: string },
): void {
  // The body may not have been read to its end, so the connection cannot be
  // reused for another request.
  res.setHeader("connection", "close");
  sendJson(
    res,
    status,
    createJSONRPCErrorResponse(null, error.code, error.message),
  );
}

function addHandler(
  server: JSONRPCServer<AbortSignal>,
  handler: RpcHandler,
  logger: Logger,
): void {
  server.addMethod(handler.method, async (raw, signal) => {
    const params = handler.params.safeParse(raw);
    if (!params.success) {
      throw new JSONRPCErrorException(
        `parameters of ${handler.method} do not match the schema`,
        JSON_RPC_ERROR.invalidParams,
      );
    }
    try {
      return await handler.handle(params.data, signal) ?? {};
    } catch (err) {
      logger.error({ err, method: handler.method }, "RPC handler failed");
      // The error's message is logged here and not sent to the caller.
      throw new JSONRPCErrorException(
        "internal error",
        JSON_RPC_ERROR.internal,
      );
    }
  });
}

/**
 * Creates the handler of `POST /rpc` for the peer listener, which also serves
 * requests over peer hops.
 *
 * @param options - `handlers` of the offered methods, `credential` that
 * callers must send, `logger`, and `signal`, which aborts running handlers
 * @returns a function that handles one request whose path is `/rpc`; its
 * promise resolves when the response was passed to Node.js and never rejects
 */
export function rpcServer(
  options: {
    handlers: readonly RpcHandler[];
    credential: string;
    logger: Logger;
    signal: AbortSignal;
  },
): (req: IncomingMessage, res: ServerResponse) => Promise<void> {
  const { logger } = options;
  const expectedDigest = sha256(options.credential);
  const server = new JSONRPCServer<AbortSignal>({
    errorListener: () => undefined, // `addHandler` logs errors of handlers
  });
  for (const handler of options.handlers) {
    addHandler(server, handler, logger);
  }

  async function handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const credential = req.headers[HOP_HEADER.credential];
    // Compares digests, because timingSafeEqual requires equal lengths.
    const presentedDigest = sha256(
      typeof credential === "string" ? credential : "",
    );
    if (
      typeof credential !== "string" ||
      !timingSafeEqual(presentedDigest, expectedDigest)
    ) {
      sendError(res, 401, {
        code: JSON_RPC_ERROR.unauthorized,
        message: "wrong peer credential",
      });
      return;
    }
    if (req.method !== "POST") {
      sendError(res, 405, {
        code: JSON_RPC_ERROR.invalidRequest,
        message: "only POST is allowed",
      });
      return;
    }
    const body = await readBody(req);
    if (body === undefined) {
      sendError(res, 413, {
        code: JSON_RPC_ERROR.invalidRequest,
        message: `request exceeds ${MAX_BODY_BYTES} bytes`,
      });
      return;
    }
    let message: unknown;
    try {
      message = JSON.parse(body);
    } catch {
      sendError(res, 400, {
        code: JSON_RPC_ERROR.parse,
        message: "body is not JSON",
      });
      return;
    }
    // Batches and notifications are not part of the protocol between routers.
    if (
      !isJSONRPCRequest(message) || typeof message.method !== "string" ||
      message.id === undefined || message.id === null
    ) {
      sendError(res, 400, {
        code: JSON_RPC_ERROR.invalidRequest,
        message: "not a JSON-RPC 2.0 request",
      });
      return;
    }
    const abortController = new AbortController();
    const abort = () => abortController.abort();
    if (options.signal.aborted) abort();
    options.signal.addEventListener("abort", abort, { once: true });
    res.once("close", abort);
    try {
      sendJson(res, 200, await server.receive(message, abortController.signal));
    } finally {
      options.signal.removeEventListener("abort", abort);
    }
  }

  return async (req, res) => {
    try {
      await handleRequest(req, res);
    } catch (err) {
      // The caller disconnected while its request was read.
      logger.debug(
        { err },
        "RPC caller disconnected before its whole request was read",
      );
      res.destroy();
    }
  };
}
