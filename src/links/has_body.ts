import type { IncomingMessage } from "node:http";

/**
 * Determines from the headers whether a request has a body.
 *
 * @param req - a request whose headers have been parsed
 * @returns whether a body of at least one byte may follow
 */
export function hasBody(req: IncomingMessage): boolean {
  return req.headers["transfer-encoding"] !== undefined ||
    Number(req.headers["content-length"] ?? 0) > 0;
}
