import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { HOP_HEADER } from "../../src/links/hop_header.ts";
import { HopClient } from "../../src/links/hop_client.ts";
import { HopExchange } from "../../src/links/hop_exchange.ts";
import type { DispatchOutcome } from "../../src/upstreams/dispatch_outcome.ts";
import type { DispatchRequest } from "../../src/upstreams/dispatch_request.ts";
import { ManualClock } from "../support/manual_clock.ts";

const REQUEST: DispatchRequest = {
  requestId: "i",
  entry: "e",
  class: "batch",
  service: "s",
  upstream: "u1",
  digest: "0123456789abcdef",
  idempotent: false,
  checksGrants: true,
  rowRevision: 7,
  deadlineAt: 1500.9,
  method: "POST",
  target: "/a?b=%20c",
  headers: { host: "h", "x-a": ["1", "2"] },
  body: Buffer.from("body"),
};

/** Starts a peer that calls `answer` for each chunk that it receives. */
async function startPeer(t: TestContext, answer: (socket: Socket) => void) {
  const received: string[] = [];
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", (data) => {
      received.push(data.toString("latin1"));
      answer(socket);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const clock = new ManualClock();
  const client = new HopClient({
    clock,
    peerUrl: `http://127.0.0.1:${port}`,
    credential: "c",
  });
  t.after(async () => {
    await client.close(AbortSignal.abort());
    server.close();
  });
  return { clock, client, received, server, port };
}

function summary(outcome: DispatchOutcome): unknown {
  return outcome.kind === "response"
    ? outcome.status
    : [outcome.refusal.code, outcome.refusal.outcome];
}

const neverAborted = () => new AbortController().signal;
const notRun = ["upstream_unavailable", "not_run"];
const unknown = ["upstream_failed", "outcome_unknown"];

test("the client sends the request with the hop headers", async (t) => {
  const { client, received } = await startPeer(t, (socket) => {
    socket.write(
      "HTTP/1.1 201 Created\r\nfescuerun-wait-ms: 2.5\r\nX-B: caf\xe9\r\n" +
        "Keep-Alive: timeout=9\r\nfescuerun-boot: b\r\n" +
        "Content-Length: 2\r\n\r\nok",
      "latin1",
    );
  });
  const outcome = await client.dispatch(REQUEST, neverAborted());
  assert.ok(outcome.kind === "response");
  assert.deepEqual([outcome.status, outcome.waitMs], [201, 2.5]);
  assert.deepEqual(outcome.headers, {
    "x-b": "caf\xe9",
    "content-length": "2",
  });
  const body = await outcome.body.toArray() as Buffer[];
  assert.equal(Buffer.concat(body).toString(), "ok");
  const lines = received.join("").split("\r\n");
  assert.equal(lines[0], "POST /hop/a?b=%20c HTTP/1.1");
  for (
    const line of [
      "host: h",
      "x-a: 1",
      "x-a: 2",
      "content-length: 4",
      "fescuerun-peer-credential: c",
      "fescuerun-request-id: i",
      "fescuerun-entry: e",
      "fescuerun-service: s",
      "fescuerun-upstream: u1",
      "fescuerun-digest: 0123456789abcdef",
      "fescuerun-row-revision: 7",
      "fescuerun-deadline-ms: 1500",
      "body",
    ]
  ) assert.ok(lines.includes(line), line);
});

const refusal = (json: string) =>
  "HTTP/1.1 503 X\r\nfescuerun-refusal: queue_full\r\n" +
  `Content-Length: ${json.length}\r\n\r\n${json}`;

test("a failure of a hop reports whether the request may have run", async (t) => {
  const cases: [name: string, answer: (s: Socket) => void, want: unknown][] = [
    ["connection closed without a response", (s) => s.destroy(), unknown],
    [
      "connection closed within the headers",
      (s) => s.end("HTTP/1.1 200 OK\r\nA"),
      unknown,
    ],
    [
      "a response that is not from a hop server",
      (s) => s.end("HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n"),
      unknown,
    ],
    [
      "a refusal",
      (s) =>
        s.write(refusal(JSON.stringify({
          code: "queue_full",
          outcome: "not_run",
          message: "m",
          requestId: "i",
          data: {},
        }))),
      ["queue_full", "not_run"],
    ],
    // Guards against statuses that HTTP does not have.
    ...["000", "099", "600", "999", "abc"].map((
      status,
    ): typeof cases[number] => [
      `status ${status}`,
      (s) =>
        s.end(
          `HTTP/1.1 ${status} X\r\n${HOP_HEADER.waitMs}: 0\r\n` +
            "Content-Length: 0\r\n\r\n",
        ),
      unknown,
    ]),
    ["a refusal that is not JSON", (s) => s.write(refusal("{")), unknown],
    [
      "a refusal without an outcome",
      (s) => s.write(refusal('{"code":"queue_full"}')),
      unknown,
    ],
  ];
  for (const [name, answer, want] of cases) {
    await t.test(name, async (t) => {
      const { client, received } = await startPeer(t, answer);
      assert.deepEqual(
        summary(await client.dispatch(REQUEST, neverAborted())),
        want,
      );
      assert.equal(
        received.join("").split("POST ").length,
        2,
        "the request must not be sent twice",
      );
    });
  }
  await t.test("connection refused", async (t) => {
    const { client, server } = await startPeer(t, () => undefined);
    server.close();
    await once(server, "close");
    const outcome = await client.dispatch(REQUEST, neverAborted());
    assert.deepEqual(summary(outcome), notRun);
  });
  await t.test("cancelled before it was sent", async (t) => {
    const { client, received, server } = await startPeer(t, () => undefined);
    const connected = once(server, "connection");
    const end = new AbortController();
    const outcome = client.dispatch(REQUEST, end.signal);
    end.abort();
    assert.deepEqual(summary(await outcome), notRun);
    // The connection is still opened, but must not be used.
    await connected;
    for (let turn = 0; turn < 50; turn++) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    assert.deepEqual(received, []);
  });
  await t.test("cancelled after it was sent", async (t) => {
    const end = new AbortController();
    const { client } = await startPeer(t, () => end.abort());
    const outcome = await client.dispatch(REQUEST, end.signal);
    assert.deepEqual(summary(outcome), unknown);
  });
});

test("a request is never sent on a second connection", () => {
  const exchange = new HopExchange(() => 0, () => undefined);
  const aborted: string[] = [];
  const controller = (name: string) =>
    ({ abort: () => aborted.push(name) }) as unknown as Parameters<
      typeof exchange.onRequestStart
    >[0];
  exchange.onRequestStart(controller("first"));
  exchange.onRequestStart(controller("second"));
  assert.deepEqual(aborted, ["second"]);
});

test("a request is cancelled after 1 s without a byte from the peer", async (t) => {
  const interim = "HTTP/1.1 102 Processing\r\n\r\n";
  const sockets: Socket[] = [];
  const { client, clock } = await startPeer(
    t,
    (socket) => sockets.push(socket),
  );
  const ended: unknown[] = [];
  const outcome = client.dispatch(REQUEST, neverAborted())
    .then((result) => ended.push(summary(result)));
  while (sockets.length === 0) await clock.advance(0);
  for (let i = 0; i < 5; i++) {
    await clock.advance(800);
    assert.deepEqual(ended, [], "an interim response restarts the timeout");
    sockets[0]!.write(interim);
    for (let turn = 0; turn < 20; turn++) await clock.advance(0);
  }
  await clock.advance(1300);
  await outcome;
  assert.deepEqual(ended, [unknown]);
  if (!sockets[0]!.destroyed) await once(sockets[0]!, "close");
});
