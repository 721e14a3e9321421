import type { IncomingMessage, ServerResponse } from "node:http";
import type { Refusal } from "../base/refusal.ts";
import { REFUSAL_NEXT_STEP } from "../base/refusal_next_step.ts";
import { REFUSAL_STATUS } from "../base/refusal_status.ts";
import { HOP_HEADER } from "./hop_header.ts";

const MAX_DISCARDED_BODY_BYTES = 256 * 1024;
const MAX_DISCARD_DURATION_MS = 1000;
// Node.js reads and discards an unread body up to this length, so that the
// connection can be reused.
const MAX_KEEP_ALIVE_BODY_BYTES = 64 * 1024;

function mustCloseConnection(req: IncomingMessage, refusal: Refusal): boolean {
  if (req.complete) return false;
  const length = req.headers["content-length"];
  if (length === undefined) {
    return req.headers["transfer-encoding"] !== undefined;
  }
  return Number(length) > MAX_KEEP_ALIVE_BODY_BYTES ||
    refusal.code === "slow_sender";
}

/**
 * Responds with a refusal. Closes the connection if a long body is unread, but
 * first discards up to 256 KiB of it for up to 1 s: closing with unread data
 * would reset the connection, and the caller might lose the response.
 *
 * @param opts - request, response, refusal, request id, and further headers
 */
export function writeRefusal(opts: {
  req: IncomingMessage;
  res: ServerResponse;
  refusal: Refusal;
  requestId: string;
  /** Overrides the status of the refusal code. */
  status?: number;
  headers?: Record<string, string>;
  /** Whether the caller waits for 100 Continue, so that no body follows. */
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
  const close = mustCloseConnection(req, refusal);
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
  // Completes the response for the caller; `end` only closes the connection.
  if (req.method === "HEAD") res.flushHeaders();
  else res.write(json);
  let discardedBytes = 0;
  const finish = () => {
    clearTimeout(timer);
    res.end();
  };
  const timer = setTimeout(finish, MAX_DISCARD_DURATION_MS);
  req.removeAllListeners("data");
  req.on("data", (chunk: Buffer) => {
    discardedBytes += chunk.length;
    if (discardedBytes > MAX_DISCARDED_BODY_BYTES) finish();
  });
  req.once("end", finish);
  res.once("close", () => clearTimeout(timer));
  req.resume();
}
