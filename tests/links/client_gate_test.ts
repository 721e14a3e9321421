import assert from "node:assert/strict";
import type { ServerResponse } from "node:http";
import { describe, it } from "node:test";
import fc from "fast-check";
import { systemClock } from "../../src/base/system_clock.ts";
import { ClientBudget } from "../../src/limits/client_budget.ts";
import { DrainingServer } from "../../src/links/draining_server.ts";
import { RawCaller } from "../support/raw_caller.ts";

const LIMITS = {
  memoryBytes: 1024 * 1024,
  connections: 3,
  headerLines: 20,
  unreadTimeoutMs: 100,
};
const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const RUNS = 30;

async function serve(
  handle: (url: string, body: string, res: ServerResponse) => void,
  limits: Partial<typeof LIMITS> = {},
) {
  const reasons: string[] = [];
  const budget = new ClientBudget(
    { ...LIMITS, ...limits },
    (reason) => reasons.push(reason),
  );
  const server = new DrainingServer({
    clock: systemClock,
    http: {},
    handle: (req, res) => {
      let body = "";
      req.on("data", (part: Buffer) => body += part.toString());
      req.on("end", () => handle(req.url ?? "", body, res));
    },
    isAuxiliary: () => false,
    clients: { budget, kind: "callers" },
  });
  const port = await server.listen("127.0.0.1:0");
  const until = async (condition: () => boolean) => {
    while (!condition()) await systemClock.sleep(5);
  };
  return { server, port, budget, reasons, until };
}

/** Encodes a request whose response shows its number and body. */
function encode(n: number, body: string, chunked: boolean): string {
  if (!chunked) {
    return `POST /${n} HTTP/1.1\r\nHost: h\r\n` +
      `Content-Length: ${body.length}\r\n\r\n${body}`;
  }
  const chunks = Array.from(body).map((byte) => `1\r\n${byte}\r\n`).join("");
  return `POST /${n} HTTP/1.1\r\nHost: h\r\n` +
    `Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
}

describe("ClientGate", { timeout: 60_000 }, () => {
  // Guards against bytes that are lost, repeated or assigned to another request
  // wherever the kernel cuts the stream, and against memory that is kept.
  it("passes on pipelined requests however they are cut", async () => {
    const { server, port, budget, until } = await serve((url, body, res) =>
      res.end(`<${url} ${body}>`)
    );
    const request = fc.record({
      body: fc.string({ unit: fc.constantFrom("\r", "\n", "x"), maxLength: 9 }),
      chunked: fc.boolean(),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.array(request, { minLength: 1, maxLength: 6 }),
        fc.array(fc.integer({ min: 1, max: 90 }), { maxLength: 8 }),
        async (requests, cuts) => {
          const caller = new RawCaller(port);
          let text = requests.map(({ body, chunked }, n) =>
            encode(n, body, chunked)
          ).join("");
          for (const cut of cuts) {
            caller.write(text.slice(0, cut));
            text = text.slice(cut);
            await systemClock.sleep(1);
          }
          caller.write(text);
          const last = requests.length - 1;
          await caller.until(new RegExp(`</${last} [^>]*>`));
          const got = [...caller.text.matchAll(/<\/(\d+) ([^>]*)>/g)]
            .map(([, n, body]) => [n, body]);
          assert.deepEqual(
            got,
            requests.map(({ body }, n) => [`${n}`, body]),
          );
          caller.socket.destroy();
          await until(() => budget.used === 0);
        },
      ),
      { numRuns: RUNS },
    );
    server.close();
  });

  // Guards against work on requests whose responses nobody has read.
  it("starts a pipelined request after the response before it", async () => {
    const responses: ServerResponse[] = [];
    const { server, port, until } = await serve((_url, _body, res) =>
      responses.push(res)
    );
    const caller = new RawCaller(port).write(REQUEST.repeat(3));
    for (let n = 1; n <= 3; n++) {
      await until(() => responses.length >= n);
      await systemClock.sleep(5);
      assert.equal(responses.length, n);
      responses.at(-1)?.end(`${n}.`);
      await caller.until(new RegExp(`${n}\\.`));
    }
    caller.socket.destroy();
    server.close();
  });

  it("refuses a head with too many lines before it is parsed", async () => {
    let handled = 0;
    const { server, port, reasons } = await serve((_url, _body, res) => {
      handled++;
      res.end("ok");
    });
    const head = (lines: number) =>
      `GET / HTTP/1.1\r\nHost: h\r\n${"a:\r\n".repeat(lines)}\r\n`;
    // The request line, Host and the empty line count.
    const allowed = new RawCaller(port).write(head(17));
    await allowed.until(/ok$/);
    const refused = new RawCaller(port).write(head(18));
    assert.match(await refused.until(/\}$/), /^HTTP\/1.1 431 [^]*not_run/);
    assert.deepEqual([handled, reasons], [1, ["header_lines"]]);
    allowed.socket.destroy();
    refused.socket.destroy();
    server.close();
  });

  it("refuses requests for which there is no memory, and recovers", async () => {
    const { server, port, budget, reasons } = await serve(
      (_url, _body, res) => res.end("ok"),
    );
    const caller = new RawCaller(port).write(REQUEST);
    await caller.until(/ok$/);
    const rest = LIMITS.memoryBytes - budget.used;
    assert.equal(budget.take(rest, "callers"), true);
    caller.text = "";
    caller.write(REQUEST);
    const text = await caller.closed();
    assert.match(text, /^HTTP\/1.1 503 [^]*Retry-After[^]*not_run/);
    assert.deepEqual(reasons, ["memory"]);
    budget.give(rest);
    const next = new RawCaller(port).write(REQUEST);
    await next.until(/ok$/);
    next.socket.destroy();
    server.close();
  });

  it("closes an unused connection for a new one at the limit", async () => {
    const { server, port, reasons } = await serve(
      (_url, _body, res) => res.end("ok"),
    );
    const used = new RawCaller(port).write(REQUEST);
    await used.until(/ok$/);
    const silent = [new RawCaller(port), new RawCaller(port)];
    const next = new RawCaller(port).write(REQUEST);
    await next.until(/ok$/);
    await silent[0]?.closed();
    used.text = "";
    await used.write(REQUEST).until(/ok$/);
    assert.deepEqual(reasons, ["connections"]);
    for (const caller of [used, next, ...silent]) caller.socket.destroy();
    server.close();
  });

  it("closes a connection whose response stays unread", async () => {
    const { server, port, budget, reasons, until } = await serve(
      (_url, _body, res) => res.end(Buffer.alloc(32 * 1024 * 1024)),
    );
    const caller = new RawCaller(port).write(REQUEST);
    caller.socket.pause();
    await until(() => reasons.length > 0);
    assert.deepEqual(reasons, ["unread"]);
    assert.equal(budget.used, 0);
    caller.socket.destroy();
    server.close();
  });
});
