import type { ServerResponse } from "node:http";

/**
 * @param res - the response to send
 * @param status - HTTP status
 * @param body - value of the JSON body
 * @param headers - further headers
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
