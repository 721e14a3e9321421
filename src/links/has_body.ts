import type { IncomingMessage } from "node:http";

/**
 * @param req - a request whose headers have been read
 * @returns whether a body of at least one byte may follow
 */
export function hasBody(req: IncomingMessage): boolean {
  return req.headers["transfer-encoding"] !== undefined ||
    Number(req.headers["content-length"] ?? 0) > 0;
}
