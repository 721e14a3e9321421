import { Worker } from "node:worker_threads";

/** What an upstream sends without end, after a fitting start. */
type Shape =
  | "header lines"
  | "a header"
  | "a reason phrase"
  | "interim answers"
  | "a chunk extension"
  | "trailers"
  | "a body"
  | "bytes after the answer";

/** What is sent once and what is repeated; `ID` is the request's id. */
const BYTES: Record<Shape, { start: string; repeated: string }> = {
  "header lines": {
    start: "HTTP/1.1 200 OK\r\n",
    repeated: "X-Line: 0123456789\r\n",
  },
  "a header": { start: "HTTP/1.1 200 OK\r\nX-Long: ", repeated: "0123456789" },
  "a reason phrase": { start: "HTTP/1.1 200 ", repeated: "0123456789" },
  "interim answers": { start: "", repeated: "HTTP/1.1 103 Hints\r\n\r\n" },
  "a chunk extension": {
    start: "HTTP/1.1 200 OK\r\nFescuerun-Request-Id: ID\r\n" +
      "Transfer-Encoding: chunked\r\n\r\n1;",
    repeated: "x=0123456789;",
  },
  "trailers": {
    start: "HTTP/1.1 200 OK\r\nFescuerun-Request-Id: ID\r\n" +
      "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
    repeated: "X-Line: 0123456789\r\n",
  },
  "a body": {
    start: "HTTP/1.1 200 OK\r\nFescuerun-Request-Id: ID\r\n" +
      "Fescuerun-Response-Signature: s\r\n\r\n",
    repeated: "0123456789",
  },
  "bytes after the answer": {
    start: "HTTP/1.1 200 OK\r\nFescuerun-Request-Id: ID\r\n" +
      "Fescuerun-Response-Signature: s\r\nContent-Length: 4\r\n\r\nbody",
    repeated: "0123456789",
  },
};

/** Runs in a thread of its own, so that it does not slow the test. */
const CODE = `
const { createServer } = require("node:net");
const { parentPort, workerData } = require("node:worker_threads");
const { start, repeated, trickle } = workerData;
const block = Buffer.from(repeated.repeat(Math.ceil(65536 / repeated.length)));
let open = 0;
createServer((socket) => {
  open++;
  socket.on("error", () => undefined);
  socket.on("close", () => --open > 0 || parentPort.postMessage("idle"));
  socket.once("data", (request) => {
    const id = /fescuerun-request-id: (\\S+)/i.exec(request.toString())?.[1];
    socket.write(start.replace("ID", id));
    if (trickle) {
      let sent = 0;
      const timer = setInterval(
        () => socket.write(repeated[sent++ % repeated.length]),
        20,
      );
      socket.on("close", () => clearInterval(timer));
      return;
    }
    const flood = () => {
      while (!socket.destroyed && socket.write(block));
    };
    socket.on("drain", flood);
    setImmediate(flood);
  });
}).listen(0, "127.0.0.1", function () {
  parentPort.postMessage(this.address().port);
});
`;

/**
 * Starts an upstream on a loopback port that sends bytes until the connection
 * is closed.
 *
 * @param shape - what it sends
 * @param speed - as fast as the connection takes it, or a byte each 20 ms
 * @returns its port, how to wait until all its connections are closed, and how
 * to end it
 */
export async function startEndlessUpstream(
  shape: Shape,
  speed: "full speed" | "trickled",
): Promise<{
  port: number;
  untilIdle: () => Promise<unknown>;
  close: () => Promise<unknown>;
}> {
  const worker = new Worker(CODE, {
    eval: true,
    execArgv: [],
    workerData: { ...BYTES[shape], trickle: speed === "trickled" },
  });
  const port = await new Promise<number>((resolve) =>
    worker.once("message", resolve)
  );
  const idle = new Promise((resolve) => worker.once("message", resolve));
  return { port, untilIdle: () => idle, close: () => worker.terminate() };
}
