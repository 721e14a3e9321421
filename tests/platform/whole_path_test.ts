import assert from "node:assert/strict";
import { createServer } from "node:http";
import { describe, it } from "node:test";
import { GrantClient } from "../../platform/grant_client.ts";
import { httpHeaders } from "../../platform/http_headers.ts";
import { OperatorRows } from "../../platform/operator_rows.ts";
import { RegistryRows } from "../../platform/registry_rows.ts";
import { TableClient } from "../../platform/table_client.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { DirectDaemon } from "../../src/direct/direct_daemon.ts";
import { DirectMetrics } from "../../src/direct/direct_metrics.ts";
import { freePorts } from "../../dev/deployment/free_ports.ts";
import { RowStoreServer } from "../../platform/standins/row_store_server.ts";
import { MemoryRowStore } from "../../dev/standins/memory_row_store.ts";
import { RawCaller } from "../support/raw_caller.ts";
import { silentLogger } from "../support/silent_logger.ts";

const TEST_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 50;

type Grant = { from: number; target: number; fence: number };

/** Starts an upstream that answers requests only for keys granted to it. */
async function startUpstream() {
  const grants: Grant[] = [];
  const server = createServer((req, res) => {
    const chunks: Buffer[] = [];
    req.on("data", (chunk: Buffer) => chunks.push(chunk));
    req.on("end", () => {
      if (req.url === "/api/grant") {
        grants.push(
          JSON.parse(Buffer.concat(chunks).toString()) as Grant,
        );
        res.end();
        return;
      }
      const id = String(req.headers["fescuerun-request-id"]);
      const key = Number(req.headers["fescuerun-shard-key"]);
      const held = grants.some(({ from, target }) =>
        from <= key && key <= target
      );
      if (!held) {
        res.writeHead(421, { "fescuerun-not-executed": "1" }).end();
        return;
      }
      res.writeHead(200, {
        "fescuerun-request-id": id,
        "fescuerun-response-signature": `s-${id}`,
        "fescuerun-server-load": "1,0,2,100",
      });
      res.end(`${req.method} ${req.url}`);
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const bound = server.address();
  const port = typeof bound === "object" ? bound?.port ?? 0 : 0;
  return { port, grants, close: () => server.close() };
}

function config(version: number) {
  return JSON.stringify({
    version: `r${version}`,
    services: [{
      name: "s1",
      healthCheckPath: "/health",
      maxConnections: 100,
      warmup: "1s",
      warmupPerS: 5,
      sharded: true,
    }],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 100000,
      headerTimeout: "3s",
      idleTimeout: "15s",
    },
    hosts: [{
      host: "h.example",
      paths: [{
        name: "r1",
        prefix: "/a/",
        kind: "unsafe",
        timeout: "2s",
        targetLatency: "500ms",
        priority: 1,
        service: "s1",
        maxAttempts: 2,
      }],
    }],
  });
}

describe("a router on the platform", () => {
  it(
    "starts from the store, grants keys, serves requests and stops",
    { timeout: TEST_TIMEOUT_MS },
    async () => {
      const memory = new MemoryRowStore(systemClock);
      const http = await new RowStoreServer(memory).listen();
      const upstream = await startUpstream();
      memory.put("op", "config", config(1));
      memory.put(
        "servers",
        "i-1",
        JSON.stringify({
          service: "s1",
          address: `127.0.0.1:${upstream.port}`,
          zone: "a1",
          slots: 2,
          state: "ready",
          warmupRemaining: "0ms",
          born: 1,
        }),
      );
      const [callers = 0, readiness = 0, peers = 0] = await freePorts(3);
      const logger = silentLogger();
      const store = new TableClient(`127.0.0.1:${http.port}`);
      const daemon = new DirectDaemon({
        cfg: {
          vm: "vm-1",
          region: "a",
          failureDomain: "a1",
          regionOf: new Map([["a1", "a"]]),
          listen: {
            callers: `127.0.0.1:${callers}`,
            readiness: `127.0.0.1:${readiness}`,
            peers: `127.0.0.1:${peers}`,
            metrics: undefined,
          },
          stopMs: 2000,
          retries: { ratio: 0.2, windowMs: 10_000, slack: 60 },
          maxHoldMs: 10_000,
          cores: undefined,
        },
        clock: systemClock,
        logger,
        metrics: new DirectMetrics(),
        store,
        protocol: httpHeaders,
        readinessPath: "/api/ready",
        peerCredential: "c",
        grants: (signal) => new GrantClient(systemClock, signal),
        sources: (view) => {
          const operators = new OperatorRows(view, logger);
          const registry = new RegistryRows(view, logger);
          return {
            operators: {
              table: "op",
              onSnapshot: (rows) => operators.onSnapshot(rows),
              onChanges: (changes) => operators.onChanges(changes),
            },
            registry: {
              table: "servers",
              onSnapshot: (rows) => registry.onSnapshot(rows),
              onChanges: (changes) => registry.onChanges(changes),
            },
          };
        },
      });
      const stop = new AbortController();
      const ended = daemon.run(stop.signal);
      const isReady = async () => {
        try {
          const url = `http://127.0.0.1:${readiness}/api/ready`;
          return (await fetch(url)).status === 200;
        } catch {
          return false; // not listening yet
        }
      };
      while (upstream.grants.length === 0 || !await isReady()) {
        await systemClock.sleep(POLL_INTERVAL_MS);
      }
      const request = (id: string) =>
        `POST /a/x?y=1 HTTP/1.1\r\nHost: h.example\r\n` +
        `Fescuerun-Request-Id: ${id}\r\nFescuerun-Shard-Key: 77\r\n` +
        "Fescuerun-Request-Deadline: 2000\r\nContent-Length: 2\r\n\r\nhi";
      const caller = new RawCaller(callers).write(request("id-1"));
      const text = await caller.until(/POST \/a\/x\?y=1$/);
      assert.match(text, /^HTTP\/1.1 200 /);
      assert.match(text, /fescuerun-response-signature: s-id-1\r\n/i);
      const unknown = new RawCaller(callers).write(
        "GET /nowhere/ HTTP/1.1\r\nHost: h.example\r\n\r\n",
      );
      assert.match(await unknown.until(/\}$/), /^HTTP\/1.1 404 /);
      stop.abort();
      assert.ok(!await isReady());
      // A request on a connection that is already open is still served.
      caller.text = "";
      caller.write(request("id-2"));
      assert.match(await caller.until(/y=1$/), /connection: close/i);
      await ended;
      await caller.closed();
      await store.close();
      upstream.close();
      http.close();
    },
  );
});
