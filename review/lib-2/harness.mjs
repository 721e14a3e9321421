// Stand-ins and helpers for the scripts of review 2. Plain Node.js, loopback
// only. See the platform's PROTOCOL.md for what the stand-ins speak.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

export const TROUBLE = process.env.TROUBLE !== "0";
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
const startedAt = Date.now();
const lines = [];
/** Processes that the script has started and that have not ended. */
const children = new Set();

// A script that can't run ends with 2, and ends what it has started.
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});
process.on("SIGTERM", () => process.exit(2));
process.on("SIGINT", () => process.exit(2));
for (const event of ["uncaughtException", "unhandledRejection"]) {
  process.on(event, (err) => {
    console.error(err);
    process.exit(2);
  });
}

/** Adds a line to record.txt, with seconds since the start of the script. */
export function note(text) {
  const line = `${((Date.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${text}`;
  lines.push(line);
  if (process.env.VERBOSE === "1") console.log(line);
}

/** Returns free loopback ports. */
export async function freePorts(count) {
  const servers = await Promise.all(
    Array.from({ length: count }, () =>
      new Promise((done, fail) => {
        const server = net.createServer();
        server.once("error", fail);
        server.listen(0, "127.0.0.1", () => done(server));
      })),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return ports;
}

/** The platform's store: one counter, tables of rows, feeds, steady clock. */
export class Store {
  #tables = new Map();
  #version = 0;
  #waiters = new Set();
  #server;
  port = 0;

  async listen() {
    this.#server = http.createServer((req, res) => void this.#serve(req, res));
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    this.port = this.#server.address().port;
    return this;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** What operators and workers write. */
  put(table, key, value) {
    this.#apply([{ table, key, value: Buffer.from(JSON.stringify(value)).toString("base64") }], []);
  }

  remove(table, key) {
    this.#apply([], [{ table, key }]);
  }

  /** Current rows of a table, as bytes by key. */
  rows(table) {
    return new Map(
      [...this.#rowsOf(table).values()].filter((row) => !row.deleted)
        .map((row) => [row.key, Buffer.from(row.value, "base64")]),
    );
  }

  #rowsOf(table) {
    let rows = this.#tables.get(table);
    if (rows === undefined) this.#tables.set(table, rows = new Map());
    return rows;
  }

  #apply(writes, removals) {
    this.#version++;
    for (const { table, key, value } of writes) {
      this.#rowsOf(table).set(key, { table, part: "", key, value, rowVersion: this.#version });
    }
    for (const { table, key } of removals) {
      if (!this.#rowsOf(table).has(key)) continue;
      this.#rowsOf(table).set(key, { table, part: "", key, value: "", rowVersion: this.#version, deleted: true });
    }
    for (const wake of [...this.#waiters]) wake();
  }

  async #serve(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    await sleep(4);
    const url = new URL(req.url, "http://store");
    const table = url.searchParams.get("table") ?? "";
    const send = (status, body) => {
      if (res.destroyed) return;
      res.writeHead(status, { "content-type": "application/json" });
      res.end(JSON.stringify({ ...body, rowVersion: this.#version, now: `${Math.floor(performance.now())}ms` }));
    };
    if (url.pathname === "/api/rows-get") {
      const from = url.searchParams.get("from") ?? "";
      const rows = [...this.#rowsOf(table).values()]
        .filter((row) => !row.deleted && row.key >= from)
        .sort((a, b) => a.key < b.key ? -1 : 1);
      const limit = Math.min(500, Number(url.searchParams.get("limit") ?? 500));
      send(200, { rows: rows.slice(0, limit), hasMore: rows.length > limit });
    } else if (url.pathname === "/api/rows-feed") {
      const after = Number(url.searchParams.get("after"));
      const until = Date.now() + Math.min(30_000, Number(url.searchParams.get("waitMs")));
      const changed = () =>
        [...this.#rowsOf(table).values()].filter((row) => row.rowVersion > after)
          .sort((a, b) => a.rowVersion - b.rowVersion);
      while (changed().length === 0 && Date.now() < until && !res.destroyed) {
        await new Promise((done) => {
          const wake = () => {
            clearTimeout(timer);
            this.#waiters.delete(wake);
            done();
          };
          const timer = setTimeout(wake, Math.max(0, until - Date.now()));
          this.#waiters.add(wake);
        });
      }
      send(200, { rows: changed() });
    } else if (url.pathname === "/api/rows-tx") {
      const { expect = [], writes = [], remove = [] } = JSON.parse(Buffer.concat(chunks).toString());
      const current = (one) => {
        const row = this.#rowsOf(one.table).get(one.key);
        return row === undefined || row.deleted ? undefined : row;
      };
      const holds = expect.every((one) => (current(one)?.rowVersion ?? 0) === one.rowVersion);
      if (!holds) {
        send(412, { rows: expect.map(current).filter((row) => row !== undefined) });
        return;
      }
      this.#apply(writes, remove);
      send(200, {});
    } else send(404, {});
  }
}

/** Settings of one machine, like those of a small deployment. */
export function settings({ node, ports, storePort, heartbeatInterval }) {
  const [clients, readiness, control, first, last] = ports;
  return `node = "${node}"
role = "router"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "quito-a"
region = "sierra"
internalPortRange = [${first},${last}]
seeds = ["127.0.0.1:${control}"]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatInterval = "${heartbeatInterval}"
contracts = ["base","drain","config","cost","retry","recover","own","places","platform"]
grants = "request"
[zones]
quito-a = "sierra"
[listen]
clientListen = "127.0.0.1:${clients}"
readiness = "127.0.0.1:${readiness}"
control = "127.0.0.1:${control}"
[limits]
cpuShare = 0.54
cpuCores = 1
memoryMb = 350
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contact = "3000ms"
drainTimeout = "2500ms"
gracePeriod = "6s"
lossSlack = "200ms"
configApply = "2500ms"
downgradeSlack = "250ms"
retryBudgetRatio = 0.2
retryWindow = "10s"
retryBudgetSlack = 62
warmupOverage = 1.5
warmupSlack = 5
evacuation = "5000ms"
recovery = "15s"
holdMax = "10000ms"
thawSlack = "300ms"
[platform]
address = "127.0.0.1:${storePort}"
form = "table"
writesPerS = 400
readsPerS = 2000
`;
}

/** The run command of deploy/system.toml. */
export function deployCommand(root) {
  const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
  const words = /^run = "([^"]*)"$/m.exec(text)[1].split(" ");
  return words;
}

/** One router process, started as the deploy file says. */
export class Router {
  #dir = mkdtempSync(join(tmpdir(), "review-"));
  #child;
  exited;

  constructor({ root, node, storePort, ports, heartbeatInterval = "870ms" }) {
    this.root = root;
    this.node = node;
    this.ports = ports;
    this.file = join(this.#dir, "local.toml");
    writeFileSync(this.file, settings({ node, ports, storePort, heartbeatInterval }));
  }

  get clientPort() {
    return this.ports[0];
  }

  get pid() {
    return this.#child.pid;
  }

  start() {
    // A metrics port of its own; the deploy file's is one for each machine.
    const [command, ...args] = deployCommand(this.root)
      .map((word) => word === "9464" ? String(this.ports[4]) : word);
    const child = spawn(command, args, {
      cwd: this.root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, FESCUERUN_NODE_FILE: this.file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.log = "";
    child.stdout.on("data", (chunk) => this.log += chunk);
    child.stderr.on("data", (chunk) => this.log += chunk);
    this.#child = child;
    children.add(child);
    this.exited = new Promise((done) =>
      child.once("exit", (code, signal) => {
        children.delete(child);
        done({ code, signal });
      }));
    return this;
  }

  signal(name) {
    this.#child.kill(name);
  }

  async untilReady(limitMs = 15_000) {
    const until = Date.now() + limitMs;
    while (Date.now() < until) {
      const status = await new Promise((done) => {
        const req = http.get({ host: "127.0.0.1", port: this.ports[1], path: "/api/ready", agent: false }, (res) => {
          res.resume();
          done(res.statusCode);
        });
        req.once("error", () => done(0));
      });
      if (status === 200) return true;
      await sleep(100);
    }
    return false;
  }

  async end() {
    this.#child?.kill("SIGKILL");
    await this.exited;
    rmSync(this.#dir, { recursive: true, force: true });
  }
}

/** Manifest with one host. */
export function manifest({ version, services, paths }) {
  return {
    version: `r${version}`,
    services: services.map((service) => ({
      healthCheckPath: "/health",
      maxConnections: 130,
      warmup: "3s",
      warmupPerS: 3.6,
      ...service,
    })),
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 1048576, headerTimeout: "3s", idleTimeout: "15s" },
    hosts: [{
      host: "jepu9.example",
      paths: paths.map((path) => ({
        timeout: "5s",
        targetLatency: "500ms",
        maxAttempts: 3,
        priority: 1,
        ...path,
      })),
    }],
  };
}

/** Sends one request; resolves with the status, headers and body, or the error. */
export function ask({ port, method = "POST", path, id, deadlineMs = 5000, body = "", headers = {}, agent = false }) {
  return new Promise((done) => {
    const req = http.request({
      host: "127.0.0.1",
      port,
      method,
      path,
      agent,
      headers: {
        host: "jepu9.example",
        "fescuerun-request-id": id,
        "fescuerun-request-deadline": String(deadlineMs),
        ...(body === "" ? {} : { "content-length": Buffer.byteLength(body) }),
        ...headers,
      },
    }, (res) => {
      const chunks = [];
      res.on("data", (chunk) => chunks.push(chunk));
      res.on("end", () => done({ status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks).toString() }));
      res.on("error", (err) => done({ err: err.code ?? String(err) }));
    });
    req.setTimeout(deadlineMs + 2000, () => req.destroy(new Error("client gave up")));
    req.once("error", (err) => done({ err: err.code ?? String(err) }));
    req.end(body);
  });
}

/** Writes record.txt and ends the script with its status. */
export function finish(folder, status, verdict) {
  note(verdict);
  writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
  console.log(`${verdict} (exit ${status})`);
  process.exit(status);
}

export const rootOf = (folder) => resolve(folder, "../..");
