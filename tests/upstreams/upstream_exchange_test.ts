import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import { Readable } from "node:stream";
import { afterEach, describe, it } from "node:test";
import { systemClock } from "../../src/base/system_clock.ts";
import { UpstreamConnection } from "../../src/upstreams/upstream_connection.ts";
import { UpstreamExchange } from "../../src/upstreams/upstream_exchange.ts";
import { RawUpstream } from "../support/raw_upstream.ts";
import { SilentListener } from "../support/silent_listener.ts";

const TEST_TIMEOUT_MS = 120_000;
const CHUNK_BYTES = 64 * 1024;
/**
 * More than a receiver takes that reads nothing (0.11 MB by Linux's defaults),
 * and less than the sender's kernel holds beside that (up to 4 MB).
 */
const GIVEN_TO_KERNEL_BYTES = 1024 * 1024;
const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const PART_OF_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";

/** What a test has opened, closed after it even if it fails. */
const opened: (() => void)[] = [];

async function listen(onRequest: (socket: Socket) => void) {
  const raw = await new RawUpstream(onRequest).listen();
  opened.push(() => raw.close());
  return raw;
}

/** Accepts one connection and reads nothing from it. */
async function acceptOne() {
  const server = createServer({ pauseOnConnect: true });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  opened.push(() => server.close());
  const bound = server.address();
  assert.ok(typeof bound === "object" && bound !== null);
  const accepted = once(server, "connection") as Promise<[Socket]>;
  return { port: bound.port, accepted };
}

function connect(port: number, waitForAcceptance = false) {
  const failures: Error[] = [];
  const connection = new UpstreamConnection({
    address: `127.0.0.1:${port}`,
    clock: systemClock,
    waitForAcceptance,
    onConnected: () => undefined,
    onConnectFailed: (err) => failures.push(err),
    onClosed: (err) => failures.push(err),
  });
  opened.push(() => connection.destroy());
  return { connection, failures };
}

function exchangeOn(
  connection: UpstreamConnection,
  body: Uint8Array | Readable = Buffer.from("{}"),
) {
  let onEnded: (err: Error | undefined) => void = () => undefined;
  const ended = new Promise<Error | undefined>((resolve) => {
    onEnded = resolve;
  });
  const exchange = new UpstreamExchange({
    connection,
    request: { method: "POST", target: "/", body },
    headers: {},
    beforeSend: () => undefined,
    onEnded,
  });
  return { exchange, ended };
}

/** Resolves with how the other side ended a connection. */
function endOf(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    socket.once("end", () => resolve("end"));
    socket.once(
      "error",
      (err: NodeJS.ErrnoException) => resolve(err.code ?? err.message),
    );
  });
}

describe("UpstreamExchange", { timeout: TEST_TIMEOUT_MS }, () => {
  afterEach(() => {
    for (const close of opened.splice(0)) close();
  });

  // Guards against a request that is delivered after it was given up on: the
  // kernel goes on sending what a socket holds that was closed in order.
  for (
    const { ends, answer, end } of [
      { ends: "is aborted", answer: "", end: "abort" },
      { ends: "loses its connection", answer: "", end: "destroy" },
      { ends: "gets the upstream's end", answer: "", end: "upstream" },
      { ends: "is aborted", answer: PART_OF_ANSWER, end: "abort" },
      { ends: "is not read on", answer: PART_OF_ANSWER, end: "unread" },
      { ends: "has no parsable answer", answer: "no answer\r\n", end: "none" },
    ] as const
  ) {
    const when = answer === "" ? "without an answer" : "within the answer";
    it(`resets its connection when it ${ends} ${when}`, async () => {
      let onSocket: (socket: Socket) => void = () => undefined;
      const received = new Promise<Socket>((resolve) => {
        onSocket = resolve;
      });
      const raw = await listen((socket) => onSocket(socket));
      const { connection, failures } = connect(raw.port);
      const { exchange, ended } = exchangeOn(connection);
      const socket = await received;
      const seen = endOf(socket);
      socket.write(answer);
      const reason = new Error("given up");
      if (answer === PART_OF_ANSWER) {
        const head = await exchange.head;
        assert.ok(head.kind === "answered");
        // The whole part is read: unread bytes cause a reset by themselves.
        await once(head.body, "readable");
        head.body.read();
        if (end === "unread") head.body.destroy(reason);
      }
      if (end === "abort") exchange.abort(reason);
      if (end === "destroy") connection.destroy();
      if (end === "upstream") socket.end();
      const err = await ended;
      assert.equal(await seen, "ECONNRESET");
      if (end === "abort" || end === "unread") assert.equal(err, reason);
      else assert.ok(err);
      assert.equal(connection.closed, true);
      // A connection that was given up on was not closed by the upstream.
      const byUpstream = end === "none" || end === "upstream";
      assert.equal(failures.length, byUpstream ? 1 : 0);
    });
  }

  // Guards against the same: what had not left this computer when the request
  // was given up on stays here.
  it("delivers nothing that was unsent when it was aborted", async () => {
    const { port, accepted } = await acceptOne();
    const { connection } = connect(port);
    let given = 0;
    let onFull: () => void = () => undefined;
    const full = new Promise<void>((resolve) => {
      onFull = resolve;
    });
    // The next chunk is asked for when the kernel has taken the last one.
    const chunks = function* () {
      for (;;) {
        if (given >= GIVEN_TO_KERNEL_BYTES) onFull();
        yield Buffer.alloc(CHUNK_BYTES);
        given += CHUNK_BYTES;
      }
    };
    const { exchange, ended } = exchangeOn(
      connection,
      Readable.from(chunks(), { highWaterMark: 1 }),
    );
    const [socket] = await accepted;
    await full;
    exchange.abort(new Error("given up"));
    await ended;
    let received = 0;
    socket.on("data", (part: Buffer) => received += part.length);
    socket.on("error", () => undefined);
    const closed = once(socket, "close").catch(() => undefined);
    socket.resume();
    await closed;
    const bytes = `${received} of ${given} bytes arrived`;
    assert.ok(received < GIVEN_TO_KERNEL_BYTES / 2, bytes);
  });

  // Guards against resets that an upstream takes for failures of its callers.
  for (
    const end of ["closed by this side", "closed by the upstream"] as const
  ) {
    it(`closes an idle connection in order, ${end}`, async () => {
      const sockets: Socket[] = [];
      const raw = await listen((socket) => {
        sockets.push(socket);
        socket.write(ANSWER);
      });
      const { connection, failures } = connect(raw.port);
      const { exchange, ended } = exchangeOn(connection);
      const head = await exchange.head;
      assert.ok(head.kind === "answered");
      head.body.resume();
      assert.equal(await ended, undefined);
      const [socket] = sockets;
      assert.ok(socket);
      const seen = endOf(socket);
      if (end === "closed by this side") connection.destroy();
      else socket.end();
      assert.equal(await seen, "end");
      assert.equal(failures.length, end === "closed by this side" ? 0 : 1);
    });
  }

  // Guards against a request that ends the process or keeps a socket: one that
  // is given up on while its connection is being established has none to reset.
  it("is aborted while it connects", async () => {
    const silent = await SilentListener.start();
    opened.push(() => silent.close());
    const { connection, failures } = connect(silent.port);
    const { exchange, ended } = exchangeOn(connection);
    const reason = new Error("given up");
    exchange.abort(reason);
    assert.equal(await ended, reason);
    assert.equal((await exchange.head).kind, "not_sent");
    assert.equal(connection.closed, true);
    assert.equal(failures.length, 0);
  });

  // Guards against the same while the upstream may still reject the connection.
  it("is aborted while it waits for acceptance", async () => {
    const { port, accepted } = await acceptOne();
    const { connection } = connect(port, true);
    const { exchange, ended } = exchangeOn(connection);
    const [socket] = await accepted;
    const seen = endOf(socket);
    const reason = new Error("given up");
    exchange.abort(reason);
    assert.equal(await ended, reason);
    socket.resume();
    assert.ok(["end", "ECONNRESET"].includes(await seen));
    assert.equal(connection.closed, true);
  });
});
