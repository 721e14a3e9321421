import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";

/**
 * Streams a response with backpressure. Resets the connection if the body is
 * truncated, because a regular close would look like the end of a response that
 * is delimited by the end of its connection.
 *
 * @param res - the response to write, of which nothing was written yet
 * @param response - status, headers and body
 * @returns a promise that resolves when the response has ended or was aborted
 */
export function writeResponse(
  res: ServerResponse,
  response: {
    status: number;
    headers: Record<string, string | string[]>;
    body: Readable;
  },
): Promise<void> {
  const { body } = response;
  return new Promise((resolve) => {
    let ended = false;
    let writtenBytes = 0;
    const contentLength = res.req.method === "HEAD" || response.status === 304
      ? undefined
      : response.headers["content-length"];
    const abortResponse = () => {
      if (!ended) res.socket?.resetAndDestroy();
      res.destroy();
      resolve();
    };
    body.on("end", () => {
      if (contentLength !== undefined && writtenBytes < Number(contentLength)) {
        abortResponse();
        return;
      }
      ended = true;
      res.end();
    });
    body.on("error", abortResponse);
    body.on("close", () => {
      if (!ended) abortResponse();
    });
    res.on("close", () => {
      body.destroy();
      resolve();
    });
    if (body.destroyed && !body.readableEnded) {
      abortResponse();
      return;
    }
    if (res.destroyed) {
      body.destroy();
      resolve();
      return;
    }
    res.writeHead(response.status, response.headers);
    let bodyStarted = false;
    body.on("data", (chunk: Buffer) => {
      bodyStarted = true;
      writtenBytes += chunk.length;
      if (!res.write(chunk)) body.pause();
    });
    res.on("drain", () => body.resume());
    // Sends the headers now if the body has not arrived yet. Otherwise they are
    // sent in one packet with the first chunk of the body.
    if (body.readableLength > 0) return;
    setImmediate(() => {
      if (!bodyStarted && !ended && !res.destroyed) res.flushHeaders();
    });
  });
}
