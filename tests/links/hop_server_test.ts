import assert from "node:assert/strict";
import { once } from "node:events";
import { Readable } from "node:stream";
import { test, type TestContext } from "node:test";
import fc from "fast-check";
import { HOP_HEADER } from "../../src/links/hop_header.ts";
import { HopServer } from "../../src/links/hop_server.ts";
import { PeerListener } from "../../src/links/peer_listener.ts";
import { FakeDispatching } from "../support/fake_dispatching.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { RawCaller } from "../support/raw_caller.ts";
import { testCatalogue } from "../support/test_catalogue.ts";

const HEADERS: Record<string, string> = {
  host: "h",
  [HOP_HEADER.credential]: "secret",
  [HOP_HEADER.requestId]: "i",
  [HOP_HEADER.entry]: "e",
  [HOP_HEADER.service]: "s",
  [HOP_HEADER.upstream]: "u1",
  [HOP_HEADER.digest]: "0123456789abcdef",
  [HOP_HEADER.rowRevision]: "7",
  [HOP_HEADER.deadlineMs]: "1500",
};

async function start(
  t: TestContext,
  local: FakeDispatching,
  region = "sierra",
) {
  const clock = new ManualClock();
  const end = new AbortController();
  const logged: unknown[] = [];
  const listener = new PeerListener({
    clock,
    requests: { maxHeaderBytes: 16384, headersTimeoutMs: 5000 },
    rpc: (_, res) => res.end("rpc"),
    logger: { error: (...args) => void logged.push(args) },
    hop: new HopServer({
      clock,
      region,
      findEntry: (name) => name === "e" ? testCatalogue.entry() : undefined,
      local,
      credential: "secret",
      signal: end.signal,
    }),
  });
  const port = await listener.listen("127.0.0.1:0");
  t.after(() => {
    end.abort();
    listener.close();
  });
  return { clock, listener, port, logged };
}

function hopRequest(
  changes: Record<string, string | undefined> = {},
  first = "GET /hop/a?b HTTP/1.1",
): string {
  const lines = Object.entries({ ...HEADERS, ...changes })
    .flatMap(([name, value]) => value === undefined ? [] : `${name}: ${value}`);
  return [first, ...lines, "", ""].join("\r\n");
}

async function sendAndReceive(port: number, text: string): Promise<string> {
  const caller = new RawCaller(port).write(text);
  const answer = await caller.until(/\}$|0\r\n\r\n$/);
  caller.socket.destroy();
  return answer;
}

test("a hop request reaches the dispatcher unchanged", async (t) => {
  const local = new FakeDispatching(
    FakeDispatching.echo(200, { "fescuerun-refusal": "queue_full" }),
  );
  const { port } = await start(t, local);
  const answer = await sendAndReceive(port, hopRequest({ "x-a": "1" }));
  assert.match(answer, /fescuerun-wait-ms: 1\r\n/);
  assert.doesNotMatch(
    answer,
    /fescuerun-refusal/,
    "an upstream must not be able to send a refusal of the router",
  );
  const { body, ...req } = local.requests[0]!;
  assert.equal(body, undefined);
  assert.deepEqual(req, {
    requestId: "i",
    entry: "e",
    class: "interactive",
    service: "s",
    upstream: "u1",
    digest: "0123456789abcdef",
    idempotent: false,
    checksGrants: true,
    rowRevision: 7,
    deadlineAt: 1500,
    method: "GET",
    target: "/a?b",
    headers: { host: "h", "x-a": "1" },
  });
});

test("invalid hop requests never reach a dispatcher", async (t) => {
  const cases: [string, Record<string, string | undefined>, string?][] = [
    ["no credential", { [HOP_HEADER.credential]: undefined }],
    ["wrong credential", { [HOP_HEADER.credential]: "secreT" }],
    ["longer credential", { [HOP_HEADER.credential]: "secret1" }],
    ["no upstream", { [HOP_HEADER.upstream]: undefined }],
    ["malformed digest", { [HOP_HEADER.digest]: "0123456789abcde" }],
    ["negative revision", { [HOP_HEADER.rowRevision]: "-1" }],
    ["deadline is not a number", { [HOP_HEADER.deadlineMs]: "soon" }],
    ["deadline out of range", { [HOP_HEADER.deadlineMs]: "600001" }],
    ["unknown entry", { [HOP_HEADER.entry]: "other" }],
    ["entry of another service", { [HOP_HEADER.service]: "other" }],
    ["not a home region", {}, "costa"],
  ];
  for (const [name, changes, region] of cases) {
    await t.test(name, async (t) => {
      const local = new FakeDispatching();
      const { port } = await start(t, local, region);
      const answer = await sendAndReceive(port, hopRequest(changes));
      assert.match(answer, /fescuerun-refusal: not_dispatcher\r\n/);
      assert.match(answer, /"outcome":"not_run"/);
      assert.match(answer, name.includes("credential") ? / 401 / : / 503 /);
      assert.equal(local.requests.length, 0);
    });
  }
});

test("arbitrary hop header values are refused or passed on unchanged", async (t) => {
  const local = new FakeDispatching(FakeDispatching.echo());
  const { port } = await start(t, local);
  const value = fc.oneof(
    fc.string({
      unit: fc.constantFrom(..."09af -.,;=xZ\t\xe9".split("")),
      maxLength: 20,
    }),
    fc.integer().map(String),
    fc.constantFrom("0123456789abcdef", "1e3", "0x10", "007", "Infinity"),
  );
  const own = [
    HOP_HEADER.digest,
    HOP_HEADER.rowRevision,
    HOP_HEADER.deadlineMs,
    HOP_HEADER.upstream,
  ];
  const changes = fc.dictionary(fc.constantFrom(...own), value);
  await fc.assert(
    fc.asyncProperty(changes, async (changed) => {
      const before = local.requests.length;
      const answer = await sendAndReceive(port, hopRequest(changed));
      const [req] = local.requests.slice(before);
      if (req === undefined) {
        assert.match(answer, /fescuerun-refusal: not_dispatcher/);
        return;
      }
      const sent = { ...HEADERS, ...changed };
      assert.equal(req.upstream, sent[HOP_HEADER.upstream]!.trim());
      assert.equal(req.digest, sent[HOP_HEADER.digest]!.trim());
      assert.equal(req.rowRevision, Number(sent[HOP_HEADER.rowRevision]));
      assert.ok(req.deadlineAt >= 0 && req.deadlineAt <= 600_000);
    }),
    { numRuns: 100 },
  );
});

test("interim responses are sent while a request is pending", async (t) => {
  const local = new FakeDispatching(() => new Promise(() => undefined));
  const { port, clock } = await start(t, local);
  const caller = new RawCaller(port).write(hopRequest());
  while (local.requests.length === 0) await clock.advance(0);
  await clock.advance(650);
  await caller.until(/^(HTTP\/1\.1 102 Processing\r\n\r\n){2}/);
  caller.socket.destroy();
});

test("other paths of the peer listener do not reach the hop server", async (t) => {
  const { port } = await start(t, new FakeDispatching());
  for (
    const [path, want] of [["/rpc", /rpc/], ["/", / 404 /], [
      "/hop",
      / 404 /,
    ]] as const
  ) {
    const caller = new RawCaller(port)
      .write(`POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n`);
    await caller.until(want);
    caller.socket.destroy();
  }
});

test("a drain waits for hop requests in flight", async (t) => {
  const body = new Readable({ read: () => undefined });
  body.push("first");
  const local = new FakeDispatching(() => ({
    kind: "response",
    status: 200,
    headers: {},
    body,
    waitMs: 0,
  }));
  const { port, listener, clock } = await start(t, local);
  const caller = new RawCaller(port).write(hopRequest());
  await caller.until(/first/);
  const ended: true[] = [];
  const drain = listener.drain(AbortSignal.abort())
    .then(() => ended.push(true));
  await clock.advance(3000);
  assert.deepEqual(ended, []);
  await assert.rejects(once(new RawCaller(port).socket, "connect"));
  body.push("last");
  body.push(null);
  await caller.until(/last\r\n0\r\n\r\n$/);
  while (ended.length === 0) await clock.advance(50);
  await drain;
  await caller.closed();
});

test("an unexpected error ends one request, not the router", async (t) => {
  const local = new FakeDispatching(() => {
    throw new Error("broken");
  });
  const { port, logged } = await start(t, local);
  for (let i = 1; i <= 2; i++) {
    const caller = new RawCaller(port).write(hopRequest());
    await caller.closed();
    assert.equal(caller.text, "");
    assert.equal(logged.length, i);
  }
});
