// A sound worker of a service that is divided by key: it runs a request only
// while it holds the key, under grants with fence numbers and hold times.
import http from "node:http";
import { note, sleep } from "./harness.mjs";

const ms = (text) => text.endsWith("ms") ? Number(text.slice(0, -2)) : 1000 * Number(text.slice(0, -1));

export class KeyedWorker {
  /** All runs, as `{ at, id, key, worker, life }`. */
  static runs = [];

  constructor({ id, service, zone = "quito-a", slots = 4, workMs = 50 }) {
    Object.assign(this, { id, service, zone, slots, workMs });
    this.life = 0;
    this.port = 0;
    this.begin();
  }

  /** A new life: it holds and knows nothing of before. */
  begin() {
    this.life++;
    this.born = Date.now();
    this.sequence = 0;
    this.holds = []; // { from, target, fence, until }
    this.seen = []; // { from, target, fence }
    this.running = 0;
    this.waiting = [];
  }

  async listen() {
    const server = http.createServer((req, res) => void this.serve(req, res).catch(() => undefined));
    server.keepAliveTimeout = 10_000;
    await new Promise((done, fail) => {
      server.once("error", fail);
      server.listen(this.port, "127.0.0.1", done);
    });
    this.port = server.address().port;
    this.server = server;
    return this;
  }

  /** Ends the process, as far as others see: the kernel closes its connections. */
  crash() {
    note(`${this.id}: crashes`);
    this.server.closeAllConnections();
    this.server.close();
    this.begin();
  }

  row() {
    this.sequence++;
    return {
      service: this.service, address: `127.0.0.1:${this.port}`, zone: this.zone, version: "1",
      slots: this.slots, state: "ready", warmupRemaining: "0ms", sequence: this.sequence, born: this.born,
    };
  }

  mayRun(key) {
    const now = performance.now();
    return this.holds.some(({ from, target, until }) => from <= key && key <= target && now < until);
  }

  async serve(req, res) {
    const arrivedAt = performance.now();
    const life = this.life;
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const expected = req.headers["fescuerun-expected-instance"];
    const requestId = req.headers["fescuerun-request-id"];
    const named = requestId === undefined ? {} : { "fescuerun-request-id": requestId };
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { ...named, "fescuerun-not-executed": "1" }).end();
      return;
    }
    if (req.url === "/api/grant" || req.url === "/api/release") {
      const order = JSON.parse(Buffer.concat(chunks).toString());
      const { from, target, fence } = order;
      const overlaps = (one) => one.from <= target && from <= one.target;
      if (req.url === "/api/grant") {
        if (this.seen.some((one) => overlaps(one) && one.fence > fence)) {
          res.writeHead(409).end();
          return;
        }
        this.seen.push({ from, target, fence });
        const before = this.holds.some((one) => one.fence === fence && one.from === from && one.target === target);
        this.holds = this.holds.filter((one) => !(one.fence === fence && one.from === from && one.target === target));
        this.holds.push({ from, target, fence, until: arrivedAt + ms(order.hold_time) });
        if (!before) note(`${this.id}: is granted keys ${from}-${target}, fence ${fence}`);
        res.writeHead(200).end();
      } else {
        this.seen.push({ from, target, fence });
        this.holds = this.holds.flatMap((one) => !overlaps(one) ? [one] : [
          { ...one, target: from - 1 }, { ...one, from: target + 1 },
        ]).filter((one) => one.from <= one.target);
        note(`${this.id}: releases keys ${from}-${target}, fence ${fence}`);
        while (this.running > 0) await sleep(5);
        res.writeHead(200, { "fescuerun-handover": `${this.id}-${fence}` }).end();
      }
      return;
    }
    const key = Number(req.headers["fescuerun-shard-key"]);
    const refuse = (status) => {
      res.writeHead(status, { ...named, "fescuerun-not-executed": "1" }).end();
      this.onRefused(req, requestId, status);
    };
    if (!this.mayRun(key)) return refuse(421);
    if (this.running >= this.slots) {
      if (this.waiting.length >= 8) return refuse(503);
      await new Promise((done) => this.waiting.push(done));
      if (life !== this.life || res.destroyed) return;
      if (!this.mayRun(key)) return refuse(421);
    }
    this.onRun(req, requestId);
    this.running++;
    KeyedWorker.runs.push({ at: Date.now(), id: requestId, key, worker: this.id, life });
    note(`${this.id}: runs ${requestId} (key ${key})`);
    await sleep(this.workMs);
    if (life !== this.life) return;
    this.running--;
    this.waiting.shift()?.();
    if (res.destroyed) return;
    res.writeHead(200, {
      ...named,
      "fescuerun-response-signature": `sig-${requestId}`,
      "fescuerun-server-load": `${this.running},${this.waiting.length},${this.slots},100`,
    });
    res.end(`done ${requestId}`);
  }

  /** Hooks for faults. */
  onRefused() {}
  onRun() {}
}
