import assert from "node:assert/strict";
import type { ServerResponse } from "node:http";
import { describe, it } from "node:test";
import { afterNextPoll } from "../../src/base/after_next_poll.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { DrainingServer } from "../../src/links/draining_server.ts";
import { RawCaller } from "../support/raw_caller.ts";

const TEST_TIMEOUT_MS = 120_000;
/** More than the buffers of a loopback connection. */
const LONG_ANSWER_BYTES = 32 * 1024 * 1024;
const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

describe("DrainingServer", () => {
  // Guards against accepting a request that arrives on an idle connection at
  // the end of the time for stopping. The request would be aborted when the
  // process is killed.
  it(
    "closes idle connections when the wait ends, busy ones after their response",
    {
      timeout: 5000,
    },
    async () => {
      const pending: ServerResponse[] = [];
      const server = new DrainingServer({
        clock: systemClock,
        http: { keepAliveTimeout: 60_000 },
        handle: (req, res) => {
          if (req.url === "/") res.end("answer");
          else pending.push(res);
        },
        isAuxiliary: () => false,
      });
      const port = await server.listen("127.0.0.1:0");
      const idle = new RawCaller(port).write(REQUEST);
      await idle.until(/answer/);
      const busy = new RawCaller(port).write(
        REQUEST.replace("GET / ", "GET /slow "),
      );
      while (pending.length === 0) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      const endOfWait = new AbortController();
      const drained = server.drain({
        minListenMs: 0,
        signal: endOfWait.signal,
      });
      endOfWait.abort();
      await idle.closed();
      pending[0]?.end("late answer");
      assert.match(await busy.until(/late answer/), /200/);
      await drained;
      await busy.closed();
    },
  );

  // Guards against an answer that is cut off at the end of the wait: the handler
  // has ended the response, but a slow caller has not taken all of it.
  it("sends the whole of a long answer to a slow caller", {
    timeout: TEST_TIMEOUT_MS,
  }, async () => {
    const answer = Buffer.alloc(LONG_ANSWER_BYTES, "x");
    let ended = 0;
    const server = new DrainingServer({
      clock: systemClock,
      http: { keepAliveTimeout: 60_000 },
      handle: (_req, res) => {
        res.writeHead(200, { "content-length": answer.length });
        res.end(answer);
        ended++;
      },
      isAuxiliary: () => false,
    });
    const port = await server.listen("127.0.0.1:0");
    const caller = new RawCaller(port);
    caller.socket.pause();
    caller.write(REQUEST);
    while (ended === 0) await new Promise((resolve) => setImmediate(resolve));
    const drained = server.drain({
      minListenMs: 0,
      signal: AbortSignal.abort(),
    });
    for (let n = 0; n < 10; n++) await afterNextPoll();
    caller.socket.resume();
    const text = await caller.closed();
    assert.equal(
      text.slice(text.indexOf("\r\n\r\n") + 4).length,
      answer.length,
    );
    await drained;
  });

  // Load pattern: a process with little processor time, which reads a request
  // some 100 ms after it arrived. Guards against a connection that is closed as
  // idle although a request waits on it.
  it("answers a request that it has not read when the wait ends", {
    timeout: TEST_TIMEOUT_MS,
  }, async () => {
    const server = new DrainingServer({
      clock: systemClock,
      http: { keepAliveTimeout: 60_000 },
      handle: (_req, res) => res.end("answer"),
      isAuxiliary: () => false,
    });
    const port = await server.listen("127.0.0.1:0");
    const callers = Array.from(
      { length: 20 },
      () => new RawCaller(port).write(REQUEST),
    );
    for (const caller of callers) {
      await caller.until(/answer/);
      caller.text = "";
    }
    // Written, but not read before the drain begins in the same turn.
    for (const caller of callers) caller.write(REQUEST);
    const drained = server.drain({
      minListenMs: 0,
      signal: AbortSignal.abort(),
    });
    for (const caller of callers) {
      assert.match(await caller.until(/answer/), /connection: close/i);
    }
    await drained;
  });
});
