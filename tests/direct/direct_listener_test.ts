import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { httpHeaders } from "../../platform/http_headers.ts";
import { afterNextPoll } from "../../src/base/after_next_poll.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import type { CallOutcome } from "../../src/direct/call_outcome.ts";
import { DirectListener } from "../../src/direct/direct_listener.ts";
import { DirectMetrics } from "../../src/direct/direct_metrics.ts";
import { RawCaller } from "../support/raw_caller.ts";
import { silentLogger } from "../support/silent_logger.ts";

const REQUEST = "GET /a/ HTTP/1.1\r\nHost: h\r\n" +
  "Fescuerun-Request-Id: 9c41d07be2a35f68\r\n\r\n";

function answered(fields: Partial<CallOutcome>): CallOutcome {
  return {
    kind: "answered",
    status: 200,
    headers: { "fescuerun-response-signature": "s" },
    body: Buffer.from("body"),
    framed: true,
    ...fields,
  } as CallOutcome;
}

const MAX_BODY_BYTES = 100;
const BODY_MEMORY_BYTES = 150;
const BLOCKED_MS = 50;
/** Closes idle connections at once. */
const NOW = { stopMs: 60_000, signal: AbortSignal.abort() };

function post(headers: string): string {
  return "POST /a/ HTTP/1.1\r\nHost: h\r\nFescuerun-Request-Id: r\r\n" +
    `${headers}\r\n\r\n`;
}

/** Serves requests; each answer waits until `finish` is called. */
async function serveBodies(timeoutMs = 5000) {
  const bodies: string[] = [];
  const gate = new AbortController();
  const metrics = new DirectMetrics();
  const listener = new DirectListener({
    clock: systemClock,
    logger: silentLogger(),
    router: {
      handle: async (call) => {
        bodies.push(Buffer.from(call.body ?? []).toString());
        await systemClock.sleep(5000, gate.signal);
        return answered({});
      },
      admit: () => Promise.resolve(undefined),
      timeoutMs: () => timeoutMs,
      stopWithin: () => undefined,
    },
    protocol: httpHeaders,
    maxBodyBytes: () => MAX_BODY_BYTES,
    bodyMemoryBytes: BODY_MEMORY_BYTES,
    metrics,
    readinessDelayMs: 0,
  });
  const port = await listener.listen("127.0.0.1:0");
  const until = async (count: number) => {
    while (bodies.length < count) await systemClock.sleep(5);
  };
  return { port, bodies, until, metrics, listener, finish: () => gate.abort() };
}

async function sendRequest(outcome: CallOutcome, until: RegExp) {
  const listener = new DirectListener({
    clock: systemClock,
    logger: silentLogger(),
    router: {
      handle: () => Promise.resolve(outcome),
      admit: () => Promise.resolve(undefined),
      timeoutMs: () => 5000,
      stopWithin: () => undefined,
    },
    protocol: httpHeaders,
    maxBodyBytes: () => MAX_BODY_BYTES,
    bodyMemoryBytes: BODY_MEMORY_BYTES,
    metrics: new DirectMetrics(),
    readinessDelayMs: 0,
  });
  const port = await listener.listen("127.0.0.1:0");
  const caller = new RawCaller(port).write(REQUEST);
  const text = await caller.until(until);
  return { text, caller, listener };
}

describe("DirectListener", () => {
  it("sends a complete answer with content-length and keep-alive", async () => {
    const { text, caller, listener } = await sendRequest(answered({}), /body$/);
    assert.match(text, /^HTTP\/1.1 200 /);
    assert.match(text, /content-length: 4\r\n/i);
    caller.write(REQUEST);
    await caller.until(/body[^]*body$/);
    caller.socket.destroy();
    await listener.drain(NOW);
  });

  // Guards against an answer that was truncated when its upstream crashed, but
  // gets a content-length and therefore looks complete.
  it("adds no content-length to an answer without framing", async () => {
    const { text, caller, listener } = await sendRequest(
      answered({ framed: false }),
      /body$/,
    );
    assert.doesNotMatch(text, /content-length|transfer-encoding/i);
    assert.match(text, /connection: close/i);
    await caller.closed();
    await listener.drain(NOW);
  });

  it("sends a retry delay with a refusal", async () => {
    const { text, caller, listener } = await sendRequest({
      kind: "refused",
      refusal: { code: "overloaded", outcome: "not_run", message: "full" },
      retryAfterMs: 250,
    }, /\}$/);
    assert.match(text, /^HTTP\/1.1 503 /);
    assert.match(text, /retry-after: 0.250\r\n/i);
    assert.match(text, /fescuerun-request-id: 9c41d07be2a35f68/i);
    assert.match(text, /"next":"repeats with a growing pause"/);
    caller.socket.destroy();
    await listener.drain(NOW);
  });

  // What callers send, and the status and retry delay that they get.
  const full = "x".repeat(MAX_BODY_BYTES);
  const cases: [string, string, RegExp][] = [
    ["a body with a length", `${post("Content-Length: 4")}body`, / 200 /],
    [
      "a body in chunks",
      `${post("Transfer-Encoding: chunked")}2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n`,
      / 200 /,
    ],
    ["a length above the limit", post("Content-Length: 101"), / 413 /],
    [
      "chunks above the limit",
      `${post("Transfer-Encoding: chunked")}65\r\n${full}x\r\n`,
      / 413 /,
    ],
  ];
  for (const [name, text, status] of cases) {
    it(`answers ${name} with${status.source}`, async () => {
      const { port, bodies, finish, listener } = await serveBodies();
      finish();
      const caller = new RawCaller(port).write(text);
      assert.match(await caller.until(/\r\n\r\n.+/s), status);
      assert.deepEqual(bodies, status.test(" 200 ") ? ["body"] : []);
      caller.socket.destroy();
      await listener.drain(NOW);
    });
  }

  // Guards against a burst of long bodies that ends the process, because each
  // of them is within its own limit.
  it("refuses bodies for which the memory of all bodies is too small", async () => {
    const { port, until, metrics, finish, listener } = await serveBodies();
    const first = new RawCaller(port)
      .write(`${post("Content-Length: 100")}${full}`);
    await until(1);
    for (
      const text of [
        post("Content-Length: 60"),
        `${post("Transfer-Encoding: chunked")}3c\r\n${"y".repeat(60)}\r\n`,
      ]
    ) {
      const second = new RawCaller(port).write(text);
      const answer = await second.until(/\}/);
      assert.match(answer, / 503 /);
      assert.match(answer, /retry-after: 0.500/i);
      assert.match(answer, /not_run/);
      second.socket.destroy();
    }
    const small = new RawCaller(port)
      .write(`${post("Content-Length: 4")}body`);
    await until(2);
    finish();
    assert.match(await first.until(/body$/), / 200 /);
    assert.match(await small.until(/body$/), / 200 /);
    // The memory of the first body is available again.
    const third = new RawCaller(port)
      .write(`${post("Content-Length: 100")}${full}`);
    assert.match(await third.until(/body$/), / 200 /);
    for (const caller of [first, small, third]) caller.socket.destroy();
    await listener.drain(NOW);
    const text = await metrics.registry.metrics();
    assert.match(text, /refused_bodies_total\{reason="no_memory"\} 2/);
  });

  it("gives the memory back if the caller disconnects within its body", async () => {
    const { port, finish, listener } = await serveBodies();
    finish();
    const lost = new RawCaller(port).write(`${post("Content-Length: 100")}x`);
    await systemClock.sleep(0);
    lost.socket.destroy();
    let status = "";
    while (!status.includes(" 200 ")) {
      const next = new RawCaller(port)
        .write(`${post("Content-Length: 100")}${full}`);
      status = await next.until(/\r\n\r\n.+/s);
      next.socket.destroy();
    }
    await listener.drain(NOW);
  });

  // Guards against a caller that stalls midway and holds memory and a stop for
  // ever.
  it("refuses a body that does not arrive within the route's timeout", async () => {
    const { port, bodies, listener } = await serveBodies(100);
    const caller = new RawCaller(port)
      .write(`${post("Content-Length: 100")}half`);
    const answer = await caller.until(/\}/);
    assert.match(answer, / 408 /);
    assert.match(answer, /not_run/);
    assert.deepEqual(bodies, []);
    await listener.drain(NOW);
    await caller.closed();
  });

  // Load pattern: a router that has just started gets more requests than it can
  // run, and reads each of them after its caller has left. Guards against work
  // for callers that are gone, which delays all others.
  for (const close of ["end", "destroy"] as const) {
    it(`drops a request that it reads after the caller's ${close}`, async () => {
      const { port, bodies, finish, listener } = await serveBodies();
      finish();
      const callers = Array.from({ length: 5 }, () => new RawCaller(port));
      await Promise.all(
        callers.map((caller) =>
          new Promise((resolve) => caller.socket.once("connect", resolve))
        ),
      );
      // The server accepts the connections before the requests are sent.
      const first = new RawCaller(port).write(REQUEST);
      await first.until(/body$/);
      bodies.length = 0;
      for (const caller of callers) caller.write(REQUEST).socket[close]();
      const until = performance.now() + BLOCKED_MS;
      while (performance.now() < until);
      await Promise.all(callers.map((caller) => caller.closed()));
      assert.equal(bodies.length, 0);
      first.socket.destroy();
      await listener.drain(NOW);
    });
  }

  // Guards against requests that end with the process, without an answer, when
  // the time to stop is over.
  it("answers requests that have not ended shortly before it is killed", async () => {
    const { port, until, listener } = await serveBodies();
    const callers = Array.from(
      { length: 3 },
      () => new RawCaller(port).write(`${post("Content-Length: 2")}hi`),
    );
    await until(callers.length);
    const drained = listener.drain({ ...NOW, stopMs: 20 });
    for (const caller of callers) {
      const text = await caller.closed();
      assert.match(text, /^HTTP\/1.1 504 /);
      assert.match(text, /connection: close/i);
      assert.match(text, /outcome_unknown/);
    }
    await drained;
  });

  // Guards against a caller that sends its end after its request, still reads,
  // and gets no answer although an upstream runs the request.
  it("answers a caller that sends its end while its request is in flight", async () => {
    const { port, until, listener, finish } = await serveBodies();
    const caller = new RawCaller(port).write(`${post("Content-Length: 2")}hi`);
    await until(1);
    const ended = new Promise((resolve) =>
      caller.socket.once("finish", resolve)
    );
    caller.socket.end();
    await ended;
    await afterNextPoll();
    finish();
    assert.match(await caller.closed(), /^HTTP\/1.1 200 [^]*body$/);
    await listener.drain(NOW);
  });
});
