import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";

/**
 * Streams an answer with backpressure. If the answer is cut short, the
 * connection is reset, because a plain end would look like the end of an answer
 * that is delimited by the connection's end.
 *
 * @param res - the response to write, nothing of it written yet
 * @param answer - status, headers and body
 * @returns a promise that resolves when the response has ended or was cut
 */
export function writeAnswer(
  res: ServerResponse,
  answer: {
    status: number;
    headers: Record<string, string | string[]>;
    body: Readable;
  },
): Promise<void> {
  const { body } = answer;
  return new Promise((resolve) => {
    let ended = false;
    let written = 0;
    const promised = res.req.method === "HEAD" || answer.status === 304
      ? undefined
      : answer.headers["content-length"];
    const cut = () => {
      if (!ended) res.socket?.resetAndDestroy();
      res.destroy();
      resolve();
    };
    body.on("end", () => {
      if (promised !== undefined && written < Number(promised)) {
        cut();
        return;
      }
      ended = true;
      res.end();
    });
    body.on("error", cut);
    body.on("close", () => {
      if (!ended) cut();
    });
    res.on("close", () => {
      body.destroy();
      resolve();
    });
    if (body.destroyed && !body.readableEnded) {
      cut();
      return;
    }
    if (res.destroyed) {
      body.destroy();
      resolve();
      return;
    }
    res.writeHead(answer.status, answer.headers);
    let flushed = false;
    body.on("data", (chunk: Buffer) => {
      flushed = true;
      written += chunk.length;
      if (!res.write(chunk)) body.pause();
    });
    res.on("drain", () => body.resume());
    // Sends the headers of an answer whose body is not there yet. Otherwise
    // they leave in one packet with the first part of the body.
    if (body.readableLength > 0) return;
    setImmediate(() => {
      if (!flushed && !ended && !res.destroyed) res.flushHeaders();
    });
  });
}
