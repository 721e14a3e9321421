import { randomUUID } from "node:crypto";
import type { Socket } from "node:net";
import type { Refusal } from "../base/refusal.ts";
import { REFUSAL_STATUS } from "../base/refusal_status.ts";
import { HOP_HEADER } from "../links/hop_header.ts";

function refusalFor(code: string | undefined): Refusal | undefined {
  if (code === "HPE_HEADER_OVERFLOW") {
    return {
      code: "headers_too_large",
      outcome: "not_run",
      message: "the headers are too large",
    };
  }
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
    return {
      code: "slow_sender",
      outcome: "not_run",
      message: "the headers arrive too slowly",
    };
  }
  if (code === "ERR_CLIENT_MEMORY") {
    return {
      code: "overloaded",
      outcome: "not_run",
      message: "no memory is left for requests",
    };
  }
  return undefined;
}

/**
 * Retry delay in seconds for clients for whose requests there is no memory;
 * that of others is released within some hundred milliseconds.
 */
const RETRY_AFTER_S = "0.500";

/**
 * Refuses a request that could not be parsed and closes its connection.
 *
 * @param socket - connection without a request in flight
 * @param code - error code that the Node.js server reported, or
 * `ERR_CLIENT_MEMORY` if the memory for clients is in use
 * @returns code of the refusal; undefined if the response is a plain 400
 */
export function refuseUnparsableRequest(
  socket: Socket,
  code: string | undefined,
): Refusal["code"] | undefined {
  const refusal = refusalFor(code);
  if (refusal === undefined) {
    socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n");
    return undefined;
  }
  const requestId = randomUUID();
  const json = JSON.stringify({ ...refusal, requestId, data: {} });
  const lines = [
    `HTTP/1.1 ${REFUSAL_STATUS[refusal.code]} Refused`,
    "Content-Type: application/json",
    `Content-Length: ${Buffer.byteLength(json)}`,
    `${HOP_HEADER.outcome}: ${refusal.outcome}`,
    `${HOP_HEADER.requestId}: ${requestId}`,
    "Connection: close",
    ...(refusal.code === "overloaded" ? [`Retry-After: ${RETRY_AFTER_S}`] : []),
  ];
  socket.end(`${lines.join("\r\n")}\r\n\r\n${json}`);
  return refusal.code;
}
