import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { z } from "zod";
import { systemClock } from "../../src/base/system_clock.ts";
import { rpcServer } from "../../src/links/rpc_server.ts";
import type { RpcHandler } from "../../src/links/rpc_handler.ts";
import { HttpPeerClient } from "../../src/vms/http_peer_client.ts";
import { silentLogger } from "../support/silent_logger.ts";

const CREDENTIAL = "shared credential";
const MIB = 1024 * 1024;
const Sum = z.object({ a: z.number(), b: z.number() });
const signal = new AbortController().signal;

type RpcResponse = {
  status: number;
  body: string;
  connection: string | undefined;
};

async function start() {
  const end = new AbortController();
  let aborted = () => undefined as unknown;
  const handlers: RpcHandler[] = [
    {
      method: "sum",
      params: Sum,
      handle(params) {
        const { a, b } = Sum.parse(params);
        return Promise.resolve(a + b);
      },
    },
    {
      method: "fail",
      params: z.unknown(),
      handle: () => Promise.reject(new Error("private detail")),
    },
    {
      method: "large",
      params: z.unknown(),
      handle: () => Promise.resolve("x".repeat(2 * MIB)),
    },
    {
      method: "hang",
      params: z.unknown(),
      handle: (_, limit) =>
        new Promise((resolve) => {
          limit.addEventListener("abort", () => {
            aborted();
            resolve({});
          });
        }),
    },
  ];
  const handle = rpcServer({
    handlers,
    credential: CREDENTIAL,
    logger: silentLogger(),
    signal: end.signal,
  });
  let connections = 0;
  const server = createServer((req, res) => void handle(req, res));
  server.on("connection", () => connections += 1);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const peerUrl = `http://127.0.0.1:${port}`;
  const client = (credential = CREDENTIAL) =>
    new HttpPeerClient({ credential, clock: systemClock, signal: end.signal });
  return {
    peerUrl,
    client,
    connections: () => connections,
    handlerAborted: () =>
      new Promise<void>((resolve) => aborted = () => resolve()),
    post: (
      body: string,
      headers: Record<string, string> = {},
      method = "POST",
    ) =>
      new Promise<RpcResponse>((resolve, reject) => {
        const req = request(`${peerUrl}/rpc`, {
          method,
          headers: { "fescuerun-peer-credential": CREDENTIAL, ...headers },
        }, (res) => {
          let text = "";
          res.on("data", (chunk: Buffer) => text += chunk.toString());
          res.on("end", () =>
            resolve({
              status: res.statusCode ?? 0,
              body: text,
              connection: res.headers.connection,
            }));
        });
        req.on("error", reject);
        req.end(body);
      }),
    async stop() {
      end.abort();
      server.closeAllConnections();
      server.close();
      await once(server, "close");
    },
  };
}

const rpcRequest = (method: string, params: unknown) =>
  JSON.stringify({ jsonrpc: "2.0", id: 1, method, params });

const bodies: {
  name: string;
  body: string;
  headers?: Record<string, string>;
  method?: string;
  status: number;
  code: number;
}[] = [
  { name: "a body that is not JSON", body: "{", status: 400, code: -32700 },
  {
    name: "JSON that is not a request",
    body: "[1]",
    status: 400,
    code: -32600,
  },
  {
    name: "a batch",
    body: `[${rpcRequest("sum", { a: 1, b: 2 })}]`,
    status: 400,
    code: -32600,
  },
  {
    name: "a notification",
    body: JSON.stringify({ jsonrpc: "2.0", method: "sum", params: {} }),
    status: 400,
    code: -32600,
  },
  {
    name: "a method other than POST",
    body: "",
    method: "PUT",
    status: 405,
    code: -32600,
  },
  {
    name: "an unknown JSON-RPC method",
    body: rpcRequest("none", {}),
    status: 200,
    code: -32601,
  },
  {
    name: "a method of the object prototype",
    body: rpcRequest("toString", {}),
    status: 200,
    code: -32601,
  },
  {
    name: "wrong parameters",
    body: rpcRequest("sum", { a: 1 }),
    status: 200,
    code: -32602,
  },
  {
    name: "a handler that fails",
    body: rpcRequest("fail", {}),
    status: 200,
    code: -32603,
  },
  {
    name: "a wrong credential",
    body: rpcRequest("sum", { a: 1, b: 2 }),
    headers: { "fescuerun-peer-credential": "shared credentiaL" },
    status: 401,
    code: -32000,
  },
];
for (const { name, body, headers, method, status, code } of bodies) {
  test(`RPC server answers ${name} with ${code}`, async () => {
    const server = await start();
    const answer = await server.post(body, headers, method);
    await server.stop();
    assert.equal(answer.status, status);
    const parsed = JSON.parse(answer.body) as { error: { code: number } };
    assert.equal(parsed.error.code, code);
    assert.ok(!answer.body.includes("private detail"));
  });
}

test("a body over the size limit is refused before its end", async () => {
  const server = await start();
  const answer = await new Promise<number | undefined>((resolve) => {
    const req = request(`${server.peerUrl}/rpc`, {
      method: "POST",
      headers: { "fescuerun-peer-credential": CREDENTIAL },
    }, (res) => resolve(res.statusCode));
    req.on("error", () => undefined);
    // Never ended: a server that waits for the end would not respond.
    req.write("x".repeat(MIB + 1));
  });
  await server.stop();
  assert.equal(answer, 413);
});

const calls: {
  name: string;
  method: string;
  params: unknown;
  credential?: string;
  expected: unknown;
}[] = [
  { name: "sum", method: "sum", params: { a: 1, b: 2 }, expected: 3 },
  {
    name: "wrong parameters",
    method: "sum",
    params: {},
    expected: ["rejected", -32602],
  },
  {
    name: "wrong credential",
    method: "sum",
    params: {},
    credential: "other",
    expected: ["rejected", -32000],
  },
  {
    name: "response over the size limit",
    method: "large",
    params: {},
    expected: ["malformed", undefined],
  },
  {
    name: "request over the size limit",
    method: "sum",
    params: { text: "x".repeat(MIB) },
    expected: ["malformed", undefined],
  },
  {
    name: "no response within the timeout",
    method: "hang",
    params: {},
    expected: ["timeout", undefined],
  },
];
for (const { name, method, params, credential, expected } of calls) {
  test(`peer client: ${name}`, async () => {
    const server = await start();
    const result = await server.client(credential).call({
      peerUrl: server.peerUrl,
      method,
      params,
      result: z.number(),
      timeoutMs: 300,
    }, signal);
    await server.stop();
    assert.deepEqual(
      result.match(
        (value): unknown => value,
        (error) => [error.kind, "code" in error ? error.code : undefined],
      ),
      expected,
    );
  });
}

test("a result that does not match the schema is reported as malformed", async () => {
  const server = await start();
  const result = await server.client().call({
    peerUrl: server.peerUrl,
    method: "sum",
    params: { a: 1, b: 2 },
    result: z.string(),
    timeoutMs: 1000,
  }, signal);
  await server.stop();
  assert.equal(result._unsafeUnwrapErr().kind, "malformed");
});

test("a peer that does not listen is reported as unreachable", async () => {
  const server = await start();
  await server.stop();
  const end = new AbortController();
  const client = new HttpPeerClient({
    credential: CREDENTIAL,
    clock: systemClock,
    signal: end.signal,
  });
  const result = await client.call({
    peerUrl: server.peerUrl,
    method: "sum",
    params: {},
    result: z.number(),
    timeoutMs: 1000,
  }, signal);
  end.abort();
  assert.equal(result._unsafeUnwrapErr().kind, "unreachable");
});

test("sequential calls reuse connections", async (t) => {
  const server = await start();
  t.after(() => server.stop());
  const client = server.client();
  for (let a = 0; a < 50; a++) {
    const result = await client.call({
      peerUrl: server.peerUrl,
      method: "sum",
      params: { a, b: 1 },
      result: z.number(),
      timeoutMs: 1000,
    }, signal);
    assert.equal(result._unsafeUnwrap(), a + 1);
  }
  // A call may start before undici has marked the first connection as idle.
  assert.ok(server.connections() <= 2, `${server.connections()} connections`);
});

test("a call that times out at the caller aborts the handler's signal", async (t) => {
  const server = await start();
  t.after(() => server.stop());
  const aborted = server.handlerAborted();
  void server.client().call({
    peerUrl: server.peerUrl,
    method: "hang",
    params: {},
    result: z.number(),
    timeoutMs: 100,
  }, signal);
  await aborted;
});
