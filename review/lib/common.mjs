// Parts that all scripts share: log, free ports, clients.
import { randomUUID } from "node:crypto";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { Router } from "./router.mjs";
import { Store } from "./store.mjs";

export const REPOSITORY = resolve(
  dirname(fileURLToPath(import.meta.url)),
  "../..",
);
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Appends events with their time to record.txt. */
export class Recorder {
  #file;
  #lines = [];
  #startedAt = performance.now();
  events = [];

  constructor(dir) {
    this.#file = join(dir, "record.txt");
    writeFileSync(this.#file, "");
  }

  log = (event) => {
    const at = performance.now() - this.#startedAt;
    this.events.push({ at, ...event });
    const { kind, ...fields } = event;
    this.#lines.push(`${(at / 1000).toFixed(3)} ${kind} ${
      JSON.stringify(fields)
    }`);
    if (this.#lines.length >= 500) this.flush();
  };

  flush() {
    if (this.#lines.length === 0) return;
    appendFileSync(this.#file, `${this.#lines.join("\n")}\n`);
    this.#lines = [];
  }
}

/** Returns different free ports of an address. */
async function freePorts(host, count) {
  const servers = Array.from({ length: count }, () => createServer());
  for (const server of servers) {
    await new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(0, host, resolve);
    });
  }
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) {
    await new Promise((resolve) => server.close(resolve));
  }
  return ports;
}

/** Routers on loopback addresses of their own, and their store. */
export async function createDeployment({ recorder, zones, names, onOutput }) {
  const dir = mkdtempSync(join(tmpdir(), "fescuerun-review-"));
  const store = new Store();
  const net = 1 + Math.floor(Math.random() * 200);
  const routers = [];
  for (const [index, name] of names.entries()) {
    const ip = `127.77.${net}.${index + 2}`;
    const [clients, readiness, control, peers] = await freePorts(ip, 4);
    const storePort = await store.listen("127.0.0.1", name);
    routers.push(
      new Router({
        name,
        ip,
        zone: Object.keys(zones)[index],
        zones,
        ports: { clients, readiness, control, peers },
        storeAddress: `127.0.0.1:${storePort}`,
        dir,
        repository: REPOSITORY,
        log: recorder.log,
        onOutput,
      }),
    );
  }
  const close = async () => {
    await Promise.all(routers.map((router) => router.stop()));
    store.close();
    rmSync(dir, { recursive: true, force: true });
  };
  return { store, routers, close };
}

export async function waitUntilReady(routers, timeoutMs) {
  const until = performance.now() + timeoutMs;
  while (performance.now() < until) {
    const ready = await Promise.all(routers.map((router) => router.isReady()));
    if (ready.every(Boolean)) return true;
    await sleep(200);
  }
  return false;
}

const agent = new Agent({ keepAlive: true, maxSockets: 200 });

/** Sends one client attempt; resolves with its outcome. */
export function send(recorder, router, { method, path, host, key, deadlineMs }) {
  const id = randomUUID().replaceAll("-", "").slice(0, 16);
  const log = (kind, fields) =>
    recorder.log({ kind, id, router: router.name, ...fields });
  log("sent", { method, path, key });
  return new Promise((resolve) => {
    const end = (outcome) => {
      clearTimeout(timer);
      const { body, ...rest } = outcome;
      log("answered", { ...rest, bytes: body?.length });
      resolve({ id, ...outcome });
    };
    const req = request({
      ...router.target,
      method,
      path,
      agent,
      headers: {
        host,
        "fescuerun-request-id": id,
        "fescuerun-request-deadline": String(deadlineMs),
        ...(key === undefined ? {} : { "fescuerun-shard-key": String(key) }),
        ...(method === "POST" ? { "content-length": "4" } : {}),
      },
    }, (res) => {
      const chunks = [];
      res.on("data", (chunk) => chunks.push(chunk));
      res.once("error", () => end({ status: 0, reason: "broken off" }));
      res.once("end", () =>
        end({
          status: res.statusCode,
          signature: res.headers["fescuerun-response-signature"],
          body: Buffer.concat(chunks).toString(),
        }));
    });
    const timer = setTimeout(
      () => req.destroy(new Error("deadline")),
      deadlineMs,
    );
    req.once("error", (err) => end({ status: 0, reason: err.message }));
    req.end(method === "POST" ? "body" : undefined);
  });
}

/** Writes the operator's first manifest. */
export function putManifest(store, { version, services, routes }) {
  store.put("op", "config", JSON.stringify({
    version: `r${version}`,
    services: services.map((service) => ({
      healthCheckPath: "/health",
      maxConnections: 51,
      warmup: "0s",
      warmupPerS: 100,
      sharded: false,
      ...service,
    })),
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 100000,
      headerTimeout: "3s",
      idleTimeout: "15s",
    },
    hosts: [{
      host: "review.example",
      paths: routes.map((route) => ({
        timeout: "2500ms",
        targetLatency: "800ms",
        priority: 1,
        maxAttempts: 3,
        ...route,
      })),
    }],
  }));
}
