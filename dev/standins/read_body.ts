import type { IncomingMessage } from "node:http";

/**
 * @param req - an incoming request
 * @returns its whole body; stand-ins only receive small ones
 */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of req) parts.push(part as Buffer);
  return Buffer.concat(parts);
}
