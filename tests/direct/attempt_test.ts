import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createServer, type Socket } from "node:net";
import { systemClock } from "../../src/base/system_clock.ts";
import { attempt } from "../../src/direct/attempt.ts";
import { ByteBudget } from "../../src/limits/byte_budget.ts";
import { listenOn } from "../../dev/standins/listen_on.ts";
import { attemptOptions } from "../support/attempt_options.ts";
import { RawUpstream } from "../support/raw_upstream.ts";
import { testCall } from "../support/test_call.ts";
import { testUpstream } from "../support/test_upstream.ts";

const ID = "9c41d07be2a35f68";
const HEAD = `HTTP/1.1 200 OK\r\nFescuerun-Request-Id: ${ID}\r\n` +
  "Fescuerun-Response-Signature: s\r\n";

const call = testCall({ target: "/a/" });

async function send(onRequest: (socket: Socket) => void) {
  const raw = await new RawUpstream(onRequest).listen();
  const upstream = testUpstream({ address: `127.0.0.1:${raw.port}` });
  const result = await attempt(
    attemptOptions(upstream, { call }),
    new AbortController().signal,
  );
  upstream.close();
  raw.close();
  return result;
}

// Each row is an answer as the upstream writes it, and the expected result.
// Guards against a truncated answer that is treated as complete.
const CASES: readonly {
  name: string;
  write: (socket: Socket) => void;
  kind: string;
  body?: string;
}[] = [
  {
    name: "an answer with a content-length",
    write: (socket) => socket.write(`${HEAD}Content-Length: 4\r\n\r\nbody`),
    kind: "answered",
    body: "body",
  },
  {
    name: "an answer without content-length, connection closed at its end",
    write: (socket) => socket.end(`${HEAD}Connection: close\r\n\r\nbody`),
    kind: "answered",
    body: "body",
  },
  {
    name: "an answer without content-length, connection reset",
    write: (socket) => {
      socket.write(
        `${HEAD}Connection: close\r\n\r\nbo`,
        () => setTimeout(() => socket.resetAndDestroy(), 20),
      );
    },
    kind: "lost",
  },
  {
    name: "an answer shorter than its content-length",
    write: (socket) => socket.end(`${HEAD}Content-Length: 9\r\n\r\nbody`),
    kind: "lost",
  },
  {
    name: "a chunked answer without its last chunk",
    write: (socket) =>
      socket.end(`${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n`),
    kind: "lost",
  },
  // Guards against statuses that HTTP does not have, of which a caller cannot
  // know what they mean, and which count as proof that nothing has run.
  ...["000", "099", "600", "999", "abc"].flatMap((status) =>
    ["", "Fescuerun-Not-Executed: 1\r\n"].map((line) => ({
      name: `status ${status}${line === "" ? "" : ", not executed"}`,
      write: (socket: Socket) =>
        socket.write(
          `${HEAD.replace("200", status)}${line}Content-Length: 4\r\n\r\nbody`,
        ),
      kind: "lost",
    }))
  ),
  {
    name: "bytes that are not HTTP",
    write: (socket) => socket.write("\u0001\u0002rubbish\r\n\r\n"),
    kind: "lost",
  },
  {
    name: "an answer with the id of another request",
    write: (socket) =>
      socket.write(
        HEAD.replace(ID, "0000000000000000") +
          "Content-Length: 4\r\n\r\nbody",
      ),
    kind: "lost",
  },
  {
    // Upstreams name the request in each of their answers.
    name: "a signed answer that names no request",
    write: (socket) =>
      socket.write(
        "HTTP/1.1 200 OK\r\nFescuerun-Response-Signature: s\r\n" +
          "Content-Length: 4\r\n\r\nbody",
      ),
    kind: "lost",
  },
  {
    name: "a refusal marked as not executed",
    write: (socket) =>
      socket.write(
        "HTTP/1.1 503 Full\r\nFescuerun-Not-Executed: 1\r\n" +
          "Content-Length: 0\r\n\r\n",
      ),
    kind: "rejected",
  },
];

describe("attempt", () => {
  // Guards against a truncated answer that is treated as complete, because
  // Node.js reports a reset that arrives with the last bytes as an end.
  for (const bytes of [0, 2, 4, 200_000]) {
    const answer = `${HEAD}Connection: close\r\n\r\n${"b".repeat(bytes)}`;
    const endings: Record<string, (socket: Socket) => void> = {
      "at once": (socket) => socket.resetAndDestroy(),
      "in the next turn of the event loop": (socket) =>
        setImmediate(() => socket.resetAndDestroy()),
      "after 1 ms": (socket) => setTimeout(() => socket.resetAndDestroy(), 1),
    };
    for (const [when, reset] of Object.entries(endings)) {
      it(`loses an answer without a length, reset ${when} after ${bytes} bytes`, async () => {
        for (let n = 0; n < 20; n++) {
          const result = await send((socket) =>
            socket.write(answer, () => reset(socket))
          );
          assert.equal(result.kind, "lost");
        }
      });
    }

    it(`delivers an answer without a length that ends after ${bytes} bytes`, async () => {
      for (let n = 0; n < 20; n++) {
        const result = await send((socket) => socket.end(answer));
        assert.ok(result.kind === "answered");
        assert.equal(result.body.length, bytes);
      }
    });
  }

  // Guards against long answers that fill the memory together, although each of
  // them is within its limit.
  it("loses a long answer for which no memory is left", async () => {
    const long = "x".repeat(1024 * 1024);
    const raw = await new RawUpstream((socket) =>
      socket.write(`${HEAD}Content-Length: ${long.length}\r\n\r\n${long}`)
    ).listen();
    const upstream = testUpstream({ address: `127.0.0.1:${raw.port}` });
    const answerMemory = new ByteBudget(1024 * 1024);
    const sendOne = () =>
      attempt(
        attemptOptions(upstream, { call, answerMemory }),
        new AbortController().signal,
      );
    assert.equal((await sendOne()).kind, "answered");
    assert.equal(answerMemory.used, 0);
    answerMemory.take(512 * 1024);
    assert.equal((await sendOne()).kind, "lost");
    assert.equal(answerMemory.used, 512 * 1024);
    answerMemory.give(512 * 1024);
    assert.equal((await sendOne()).kind, "answered");
    upstream.close();
    raw.close();
  });

  for (const { name, write, kind, body } of CASES) {
    it(`${name}: ${kind}`, async () => {
      const result = await send(write);
      assert.equal(result.kind, kind);
      if (result.kind === "answered") {
        assert.equal(Buffer.from(result.body).toString(), body);
      }
    });
  }

  // The owner of a hot key has a long queue and resets new connections. Guards
  // against a request that reached no upstream but is reported as one that may
  // have run.
  for (
    const { name, connections, kind } of [
      { name: "resets new connections", connections: 0, kind: "not_sent" },
      { name: "accepts connections", connections: 1, kind: "answered" },
    ]
  ) {
    it(`to an upstream that ${name}: ${kind}`, async () => {
      const server = createServer((socket) => {
        socket.on("error", () => undefined);
        if (connections === 0) socket.resetAndDestroy();
        socket.on(
          "data",
          () => socket.write(`${HEAD}Content-Length: 0\r\n\r\n`),
        );
      });
      const port = await listenOn(server, 0);
      const upstream = testUpstream({ address: `127.0.0.1:${port}` });
      const result = await attempt(
        attemptOptions(upstream, {
          call: { ...call, method: "POST" },
          idempotent: false,
        }),
        new AbortController().signal,
      );
      upstream.close();
      server.close();
      assert.equal(result.kind, kind);
      if (result.kind === "not_sent") {
        assert.equal(result.cause, "connection_rejected");
        assert.ok(!upstream.failures.isUnreachable(systemClock.now()));
      }
    });
  }
});
