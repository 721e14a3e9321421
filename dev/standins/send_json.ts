import type { ServerResponse } from "node:http";

/**
 * Sends a response with a JSON body.
 *
 * @param res - the response to send
 * @param status - HTTP status
 * @param body - value of the JSON body
 * @param headers - additional headers
 */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...headers,
  });
  res.end(text);
}
