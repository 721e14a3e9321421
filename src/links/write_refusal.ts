import type { IncomingMessage, ServerResponse } from "node:http";
import type { Refusal } from "../base/refusal.ts";
import { REFUSAL_NEXT_STEP } from "../base/refusal_next_step.ts";
import { REFUSAL_STATUS } from "../base/refusal_status.ts";
import { HOP_HEADER } from "./hop_header.ts";

const DRAIN_BYTES = 256 * 1024;
const DRAIN_MS = 1000;
// A short rest of a body is read by Node, so that the connection stays usable.
const KEEP_ALIVE_BODY_BYTES = 64 * 1024;

function mustClose(req: IncomingMessage, refusal: Refusal): boolean {
  if (req.complete) return false;
  const length = req.headers["content-length"];
  if (length === undefined) {
    return req.headers["transfer-encoding"] !== undefined;
  }
  return Number(length) > KEEP_ALIVE_BODY_BYTES ||
    refusal.code === "slow_sender";
}

/**
 * Answers with a refusal. The connection is closed if a body is left unread;
 * a limited part of it is read first, because closing with unread data would
 * reset the connection and could destroy the answer before it is read.
 *
 * @param opts - request, response, refusal, its request id, and more headers
 */
export function writeRefusal(opts: {
  req: IncomingMessage;
  res: ServerResponse;
  refusal: Refusal;
  requestId: string;
  /** Replaces the status that belongs to the code. */
  status?: number;
  headers?: Record<string, string>;
  /** The caller waits for 100 Continue, so that no body follows. */
  bodyWithheld?: boolean;
}): void {
  const { req, res, refusal } = opts;
  if (res.destroyed || res.headersSent) {
    res.destroy();
    return;
  }
  const json = Buffer.from(JSON.stringify({
    code: refusal.code,
    outcome: refusal.outcome,
    message: refusal.message,
    next: REFUSAL_NEXT_STEP[refusal.code],
    requestId: opts.requestId,
    data: refusal.data ?? {},
  }));
  const close = mustClose(req, refusal);
  res.writeHead(opts.status ?? REFUSAL_STATUS[refusal.code], {
    "content-type": "application/json",
    "content-length": json.length,
    [HOP_HEADER.outcome]: refusal.outcome,
    [HOP_HEADER.requestId]: opts.requestId,
    ...(close ? { connection: "close" } : {}),
    ...opts.headers,
  });
  if (!close || opts.bodyWithheld === true || req.destroyed) {
    res.end(json);
    return;
  }
  // The answer is complete for the caller; `end` only closes the connection.
  if (req.method === "HEAD") res.flushHeaders();
  else res.write(json);
  let read = 0;
  const finish = () => {
    clearTimeout(timer);
    res.end();
  };
  const timer = setTimeout(finish, DRAIN_MS);
  req.removeAllListeners("data");
  req.on("data", (chunk: Buffer) => {
    read += chunk.length;
    if (read > DRAIN_BYTES) finish();
  });
  req.once("end", finish);
  res.once("close", () => clearTimeout(timer));
  req.resume();
}
