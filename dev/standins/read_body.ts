import type { IncomingMessage } from "node:http";

/**
 * Reads the body of a request into memory.
 *
 * @param req - an incoming request
 * @returns the whole body; its size is not limited, since stand-ins only
 * receive small bodies
 */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
