import assert from "node:assert/strict";
import { once } from "node:events";
import { createHash, randomBytes } from "node:crypto";
import { Readable } from "node:stream";
import { test, type TestContext } from "node:test";
import { request } from "undici";
import type { DispatchOutcome } from "../../src/upstreams/dispatch_outcome.ts";
import { EntryRig } from "../support/entry_rig.ts";
import { FakeDispatching } from "../support/fake_dispatching.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { RawCaller } from "../support/raw_caller.ts";
import { testCatalogue } from "../support/test_catalogue.ts";

const { echo, refuse } = FakeDispatching;

async function start(
  t: TestContext,
  opts: Partial<ConstructorParameters<typeof EntryRig>[0]> = {},
): Promise<EntryRig> {
  const rig = new EntryRig({ local: new FakeDispatching(echo()), ...opts });
  await rig.start();
  rig.assignments.adopt(1, testCatalogue.row());
  t.after(() => {
    rig.stop();
    assert.deepEqual(rig.loggedErrors, []);
  });
  return rig;
}

/** Creates a response whose body the test controls. */
function streamResponse(
  body: Readable,
  headers: Record<string, string> = {},
): DispatchOutcome {
  return { kind: "response", status: 200, headers, body, waitMs: 0 };
}

/** Waits for turns of the event loop, in which sockets deliver their data. */
async function eventLoopTurns(count = 20): Promise<void> {
  for (let i = 0; i < count; i++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Parses the JSON body of a refusal. */
function refusalIn(
  text: string,
): { code: string; outcome: string; data: unknown } {
  const body = text.slice(text.indexOf("\r\n\r\n") + 4);
  return JSON.parse(body) as ReturnType<typeof refusalIn>;
}

test("requests with and without bodies get their responses", async (t) => {
  const fake = new FakeDispatching(
    echo(200, { "fescuerun-boot": "b", connection: "x-drop", "x-a": "1" }),
  );
  const rig = await start(t, { local: fake });
  const cases: [name: string, sent: string, body: string, target?: string][] = [
    ["no body", "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n", "", "/a?b=c"],
    [
      "length",
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
      "abc",
    ],
    [
      "chunks",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
      "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
      "abc",
    ],
    ["absolute form", "GET http://h/x HTTP/1.1\r\nHost: h\r\n\r\n", "", "/x"],
    [
      "own headers are dropped",
      "GET / HTTP/1.1\r\nHost: h\r\nFescuerun-Epoch: 9\r\n" +
      "Connection: x-b\r\nX-B: 1\r\nX-C: 1\r\nX-C: 2\r\n\r\n",
      "",
    ],
  ];
  // All on one connection, so that a wrongly delimited body breaks the next
  // request.
  const caller = new RawCaller(rig.port);
  for (const [name, sent, body, target] of cases) {
    caller.text = "";
    caller.write(sent);
    const text = await caller.until(/\r\n\r\n(.*0\r\n\r\n)$/s);
    assert.match(text, /^HTTP\/1\.1 200 /, name);
    assert.match(text, /x-a: 1\r\n/);
    assert.match(text, /fescuerun-request-id: [0-9a-f-]{36}\r\n/);
    assert.doesNotMatch(text, /fescuerun-boot|x-drop/);
    if (body !== "") assert.match(text, new RegExp(`\r\n${body}\r\n`));
    assert.equal(fake.requests.at(-1)?.target, target ?? "/");
  }
  const { headers } = fake.requests.at(-1)!;
  assert.deepEqual(headers, { host: "h", "x-c": ["1", "2"] });
  caller.socket.destroy();
});

test("an unexpected error ends one request, not the router", async (t) => {
  const local = new FakeDispatching(() => {
    throw new Error("broken");
  });
  const rig = new EntryRig({ local });
  await rig.start();
  t.after(() => rig.stop());
  rig.assignments.adopt(1, testCatalogue.row());
  for (let i = 1; i <= 2; i++) {
    const caller = new RawCaller(rig.port).write(
      "GET / HTTP/1.1\r\nHost: h\r\nconstructor: x\r\n\r\n",
    );
    await caller.closed();
    assert.equal(caller.text, "");
    assert.deepEqual([rig.loggedErrors.length, rig.released], [i, i]);
  }
});

test("a retry sends a short body again in full", async (t) => {
  const fake = new FakeDispatching(
    async (req, signal) => {
      await FakeDispatching.read(req);
      return refuse("not_owner")(req, signal);
    },
    echo(),
  );
  for (const [i, vm] of ["r1", "r2"].entries()) {
    const rig = await start(t, { local: fake });
    rig.assignments.adopt(2, testCatalogue.row({ vm }));
    fake.requests.length = 0;
    const caller = new RawCaller(rig.port).write(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
        `2\r\nab\r\n1\r\n${i}\r\n0\r\n\r\n`,
    );
    await caller.until(new RegExp(`\r\nab${i}\r\n0\r\n\r\n$`));
    assert.equal(fake.requests.length, 2);
    caller.socket.destroy();
  }
});

test("a request for an unreachable dispatcher waits for the next one", async (t) => {
  const rig = await start(t);
  const lost = rig.members.get("r2")!;
  rig.members.set("r2", { ...lost, peerUrl: "http://127.0.0.1:1" });
  rig.assignments.adopt(2, testCatalogue.row({ vm: "r2" }));
  const caller = new RawCaller(rig.port).write(
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
  );
  while (rig.hold.heldCount === 0) await eventLoopTurns(1);
  rig.assignments.adopt(3, testCatalogue.row({ vm: "r1" }));
  await caller.until(/ 200 .*abc/s);
  caller.socket.destroy();
});

test("a response to HEAD has no body, and its connection is reused", async (t) => {
  const body = () =>
    streamResponse(Readable.from([]), { "content-length": "5" });
  const rig = await start(t, { local: new FakeDispatching(body) });
  const caller = new RawCaller(rig.port);
  for (const [revision, vm] of ["r1", "r1", "r2", "r2"].entries()) {
    rig.assignments.adopt(revision + 2, testCatalogue.row({ vm }));
    caller.text = "";
    caller.write("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
    const text = await caller.until(/\r\n\r\n/);
    assert.match(text, /content-length: 5\r\n/);
    assert.match(text, /\r\n\r\n$/);
  }
  caller.socket.destroy();
});

test("100 Continue is sent only when the body is read", async (t) => {
  const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n" +
    "Expect: 100-continue\r\n\r\n";
  const rig = await start(t);
  const caller = new RawCaller(rig.port).write(head);
  await caller.until(/^HTTP\/1\.1 100 Continue\r\n\r\n/);
  caller.write("abc");
  await caller.until(/HTTP\/1\.1 200 .*\r\nabc\r\n/s);
  caller.socket.destroy();

  rig.mode = "cut_off";
  const refused = new RawCaller(rig.port).write(head);
  const text = await refused.closed();
  assert.match(text, /^HTTP\/1\.1 503 /);
  assert.equal(refusalIn(text).code, "router_not_current");
});

test("requests are refused by their headers before the body is read", async (t) => {
  const cases: {
    name: string;
    entry?: Record<string, unknown>;
    mode?: "cut_off" | "starting";
    length?: number;
    status: number;
    code: string;
    data?: unknown;
  }[] = [
    {
      name: "wrong region, disclosing only the home regions of the entry",
      entry: { homeRegions: ["costa", "oriente"] },
      status: 421,
      code: "wrong_region",
      data: { homeRegions: ["costa", "oriente"] },
    },
    {
      name: "disconnected router",
      mode: "cut_off",
      status: 503,
      code: "router_not_current",
    },
    {
      name: "starting router",
      mode: "starting",
      status: 503,
      code: "router_not_current",
    },
    {
      name: "too large a body",
      length: 1024 * 1024 + 1,
      status: 413,
      code: "body_too_large",
      data: { maxBodyBytes: 1024 * 1024 },
    },
  ];
  for (const { name, entry, mode, length, status, code, data } of cases) {
    await t.test(name, async (t) => {
      const local = new FakeDispatching();
      const rig = await start(t, { local, entry: testCatalogue.entry(entry) });
      rig.mode = mode ?? "current";
      const caller = new RawCaller(rig.port).write(
        "POST / HTTP/1.1\r\nHost: h\r\n" +
          `Content-Length: ${length ?? 100_000}\r\n\r\n`,
      );
      const text = await caller.until(/\}\}$/);
      assert.match(text, new RegExp(`^HTTP/1\\.1 ${status} `));
      assert.match(text, /fescuerun-outcome: not_run\r\n/);
      const body = refusalIn(text);
      assert.deepEqual(
        [body.code, body.outcome, body.data],
        [code, "not_run", data ?? {}],
      );
      if (code === "wrong_region") assert.doesNotMatch(text, /acme|"e"/);
      assert.deepEqual([local.requests.length, rig.admitted], [0, 0]);
      caller.socket.destroy();
    });
  }
});

test("bodies longer than the entry allows are refused", async (t) => {
  const entry = testCatalogue.entry({
    limits: { ratePerS: 1, concurrency: 1, maxBodyBytes: 100_000 },
  });
  const chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n";
  for (const maxBodyBytes of [10, 100_000]) {
    const limits = { ...entry.limits, maxBodyBytes };
    // With the larger limit the body is streamed to the upstream, which reads
    // it until the stream fails.
    const rig = await start(t, {
      entry: { ...entry, limits },
      local: new FakeDispatching(async (req) => {
        await FakeDispatching.read(req).catch(() => undefined);
        return refuse("upstream_failed", "outcome_unknown")(req, t.signal);
      }),
    });
    const caller = new RawCaller(rig.port).write(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
        chunk.repeat(5),
    );
    const body = refusalIn(await caller.until(/\}\}$/));
    assert.equal(body.code, "body_too_large");
    assert.equal(
      body.outcome,
      maxBodyBytes === 10 ? "not_run" : "outcome_unknown",
    );
    assert.equal(rig.released, 1);
    caller.socket.destroy();
  }
});

test("slow senders are refused", async (t) => {
  await t.test("headers", async (t) => {
    const rig = await start(t, { requests: { headersTimeoutMs: 50 } });
    const caller = new RawCaller(rig.port).write("GET / HTTP/1.1\r\nHost: ");
    const text = await caller.closed();
    assert.match(text, /^HTTP\/1\.1 408 /);
    assert.equal(refusalIn(text).code, "slow_sender");
  });
  for (const length of [100, 100_000]) {
    await t.test(`body of ${length} bytes`, async (t) => {
      const clock = new ManualClock();
      const local = new FakeDispatching(async (req) => {
        await FakeDispatching.read(req).catch(() => undefined);
        return refuse("upstream_failed", "outcome_unknown")(req, t.signal);
      });
      const rig = await start(t, { clock, local });
      const caller = new RawCaller(rig.port).write(
        `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${length}\r\n\r\nab`,
      );
      while (rig.admitted === 0) await eventLoopTurns(1);
      await eventLoopTurns();
      await clock.advance(4900);
      caller.write("c");
      await eventLoopTurns();
      await clock.advance(2900);
      assert.equal(
        caller.text,
        "",
        "each chunk restarts the limit of the pause",
      );
      await clock.advance(2200);
      const body = refusalIn(await caller.until(/\}\}$/));
      assert.equal(body.code, "slow_sender");
      assert.equal(
        body.outcome,
        length === 100 ? "not_run" : "outcome_unknown",
      );
      caller.socket.destroy();
    });
  }
});

test("oversized headers are refused", async (t) => {
  const rig = await start(t, { requests: { maxHeaderBytes: 1024 } });
  const caller = new RawCaller(rig.port).write(
    `GET / HTTP/1.1\r\nHost: h\r\nX-A: ${"a".repeat(2000)}\r\n\r\n`,
  );
  const text = await caller.closed();
  assert.match(text, /^HTTP\/1\.1 431 /);
  assert.equal(refusalIn(text).code, "headers_too_large");
  assert.deepEqual(rig.unparsedCodes, ["headers_too_large"]);
});

test("a malformed request adds nothing to the response of another", async (t) => {
  let end: (() => void) | undefined;
  const local = new FakeDispatching(() =>
    new Promise((resolve) => {
      end = () =>
        resolve(streamResponse(Readable.from([Buffer.from("whole")])));
    })
  );
  const rig = await start(t, { local });
  const caller = new RawCaller(rig.port).write(
    "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
  );
  while (end === undefined) await eventLoopTurns(1);
  caller.write("not http at all\r\n\r\n");
  await caller.closed();
  end();
  assert.doesNotMatch(caller.text, /400|431|408/);
});

test("a truncated response never looks complete", async (t) => {
  const cases: [
    name: string,
    version: string,
    headers: Record<string, string>,
  ][] = [
    ["chunked", "1.1", {}],
    ["with Content-Length", "1.1", { "content-length": "100" }],
    // The body ends with the connection, so only a reset shows truncation.
    ["delimited by the end of the connection", "1.0", {}],
  ];
  for (const [name, version, headers] of cases) {
    for (const via of ["local", "hop"]) {
      await t.test(`${name}, ${via}`, async (t) => {
        const bodies: Readable[] = [];
        const fake = new FakeDispatching(() => {
          const body = new Readable({ read: () => undefined });
          bodies.push(body);
          body.push("part");
          return streamResponse(body, headers);
        });
        const rig = await start(t, { local: fake });
        if (via === "hop") {
          rig.assignments.adopt(2, testCatalogue.row({ vm: "r2" }));
        }
        const caller = new RawCaller(rig.port).write(
          `GET / HTTP/${version}\r\nHost: h\r\n\r\n`,
        );
        await caller.until(/part/);
        bodies[0]!.destroy(new Error("aborted"));
        await caller.closed();
        assert.equal(caller.socketError?.code, "ECONNRESET");
        assert.doesNotMatch(caller.text, /\r\n0\r\n\r\n$/);
        assert.equal(rig.released, 1);
      });
    }
  }
  await t.test("a response shorter than its Content-Length", async (t) => {
    const rig = await start(t, {
      local: new FakeDispatching(() =>
        streamResponse(Readable.from([Buffer.from("x")]), {
          "content-length": "9",
        })
      ),
    });
    const caller = new RawCaller(rig.port).write(
      "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
    );
    await caller.closed();
    assert.equal(caller.socketError?.code, "ECONNRESET");
  });
});

test("a caller that disconnects cancels its request", async (t) => {
  for (const vm of ["r1", "r2"]) {
    const cancelled = deferred();
    const fake = new FakeDispatching((_, signal) =>
      new Promise((resolve) => {
        signal.addEventListener("abort", () => {
          cancelled.resolve(undefined);
          resolve(refuse("upstream_failed", "outcome_unknown")(_, signal));
        });
      })
    );
    // The manual clock never reaches the deadline, which would cancel as well.
    const clock = new ManualClock();
    const rig = await start(t, { local: fake, clock });
    rig.assignments.adopt(2, testCatalogue.row({ vm }));
    const caller = new RawCaller(rig.port).write(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx",
    );
    while (fake.requests.length === 0) await eventLoopTurns(1);
    caller.socket.destroy();
    await cancelled.promise;
    await eventLoopTurns();
    assert.deepEqual([fake.requests.length, rig.released], [1, 1]);
  }
});

function deferred() {
  let resolve!: (value: unknown) => void;
  const promise = new Promise((r) => resolve = r);
  return { promise, resolve };
}

test("large bodies stream both ways with backpressure", async (t) => {
  const sent = randomBytes(8 * 1024 * 1024);
  const hash = (data: Buffer) =>
    createHash("sha256").update(data).digest("hex");
  for (const vm of ["r1", "r2"]) {
    const fake = new FakeDispatching((req) =>
      Promise.resolve(streamResponse(req.body as Readable))
    );
    const rig = await start(t, {
      local: fake,
      entry: testCatalogue.entry({
        limits: {
          ratePerS: 1,
          concurrency: 1,
          maxBodyBytes: 16 * 1024 * 1024,
        },
      }),
    });
    rig.assignments.adopt(2, testCatalogue.row({ vm }));
    const reply = await request(rig.url, { method: "POST", body: sent });
    const got = Buffer.from(await reply.body.arrayBuffer());
    assert.equal(hash(got), hash(sent));

    // If the caller does not read, nothing more is read from the upstream.
    let pushed = 0;
    const endless = new FakeDispatching(() =>
      streamResponse(
        new Readable({
          read() {
            pushed++;
            this.push(Buffer.alloc(64 * 1024));
          },
        }),
      )
    );
    const slow = await start(t, { local: endless });
    slow.assignments.adopt(2, testCatalogue.row({ vm }));
    const caller = new RawCaller(slow.port);
    caller.socket.pause();
    caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    let before = -1;
    while (pushed === 0 || pushed !== before) {
      before = pushed;
      await eventLoopTurns(2000);
    }
    assert.ok(pushed < 2000, `${pushed} chunks were buffered`);
    caller.socket.destroy();
  }
});

test("a response before the end of a long body keeps the connection usable", async (t) => {
  // Guards against the remaining body being parsed as the next request.
  for (const vm of ["r1", "r2"]) {
    const fake = new FakeDispatching(() =>
      streamResponse(Readable.from(["early"]))
    );
    const rig = await start(t, { local: fake });
    rig.assignments.adopt(2, testCatalogue.row({ vm }));
    const body = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n".repeat(10_000);
    const caller = new RawCaller(rig.port).write(
      `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n` +
        body.slice(0, 200_000),
    );
    await caller.until(/early\r\n0\r\n\r\n$/);
    caller.text = "";
    caller.write(`${body.slice(200_000)}GET /next HTTP/1.1\r\nHost: h\r\n\r\n`);
    await caller.until(/early\r\n0\r\n\r\n$/);
    assert.deepEqual(fake.requests.map((req) => req.target), ["/", "/next"]);
    assert.equal(rig.released, 2);
    caller.socket.destroy();
  }
});

test("a response that is incomplete at the deadline is aborted", async (t) => {
  const clock = new ManualClock();
  const body = new Readable({ read: () => undefined });
  body.push("part");
  const rig = await start(t, {
    clock,
    local: new FakeDispatching(() => streamResponse(body)),
  });
  const caller = new RawCaller(rig.port).write(
    "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
  );
  await caller.until(/part/);
  await clock.advance(8200);
  await caller.closed();
  assert.equal(caller.socketError?.code, "ECONNRESET");
  assert.equal(rig.released, 1);
});

test("health checks report live and ready", async (t) => {
  const rig = await start(t);
  const probe = async (path: string) =>
    (await request(`${rig.url}/-/${path}`)).statusCode;
  assert.deepEqual([await probe("live"), await probe("ready")], [200, 200]);
  rig.ready = false;
  assert.deepEqual([await probe("live"), await probe("ready")], [200, 503]);
  assert.equal(await probe("other"), 404);
});

test("a drain under load aborts no request", async (t) => {
  const fake = new FakeDispatching(async (req, signal) => {
    await eventLoopTurns(5);
    return await echo()(req, signal);
  });
  const rig = await start(t, { local: fake });
  const stop = new AbortController();
  const results: string[] = [];
  // Callers that reuse their connection until a response closes it.
  const callers = Array.from({ length: 50 }, async (_, i) => {
    for (let n = 0; !stop.signal.aborted; n++) {
      const caller = new RawCaller(rig.port);
      try {
        await once(caller.socket, "connect");
      } catch {
        return;
      }
      for (;; n++) {
        caller.text = "";
        const body = `${i}-${n}`;
        caller.write(
          "POST / HTTP/1.1\r\nHost: h\r\n" +
            `Content-Length: ${body.length}\r\n\r\n${body}`,
        );
        const text = await caller.until(/0\r\n\r\n$/);
        results.push(text.includes(`\r\n${body}\r\n`) ? "ok" : text);
        if (/connection: close/i.test(text)) break;
      }
      await caller.closed();
    }
  });
  while (results.length < 500) await eventLoopTurns(10);
  const drained = rig.listener.drain(new AbortController().signal);
  const ready = await request(`${rig.url}/-/ready`);
  assert.equal(ready.statusCode, 503);
  const before = results.length;
  while (results.length < before + 500) await eventLoopTurns(10);
  stop.abort();
  await Promise.all([drained, ...callers]);
  assert.deepEqual(results.filter((result) => result !== "ok"), []);
  await assert.rejects(once(new RawCaller(rig.port).socket, "connect"));
});

test("a drain waits for a request whose headers are arriving", async (t) => {
  const clock = new ManualClock();
  const rig = await start(t, { clock });
  const caller = new RawCaller(rig.port).write("GET / HTTP/1.1\r\nHo");
  const idle = new RawCaller(rig.port);
  await once(idle.socket, "connect");
  await eventLoopTurns();
  const drained: true[] = [];
  void rig.listener.drain(new AbortController().signal)
    .then(() => drained.push(true));
  await clock.advance(3000);
  assert.deepEqual(drained, []);
  caller.write("st: h\r\n\r\n");
  await caller.until(/^HTTP\/1\.1 200 .*connection: close/is);
  await caller.closed();
  while (drained.length === 0) await clock.advance(50);
  await idle.closed();
  assert.equal(idle.text, "");
});
