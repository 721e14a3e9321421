// Stand-in of a worker (PROTOCOL.md): runs requests, holds keys by grants.
import { createServer } from "node:http";

const MAX_QUEUED = 12;
const HEARTBEAT_MS = 1500;

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** The bytes of an answer, as a second copy of it would have them. */
function rawAnswer(status, headers, body) {
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  ).join("");
  return `HTTP/1.1 ${status} Answer\r\n${lines}` +
    `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

/** The bytes of an answer without a length, which ends with its connection. */
function unframedAnswer(status, headers, body) {
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  ).join("");
  return `HTTP/1.1 ${status} Answer\r\n${lines}\r\n${body}`;
}

/** The body of the answer to a request. */
export function answerBody(id) {
  return `answer to ${id} ${"z".repeat(400)} end`;
}

/** Replaces the part of `ranges` that `cut` covers by nothing. */
function subtract(ranges, cut) {
  return ranges.flatMap((range) => {
    if (range.last < cut.first || cut.last < range.first) return [range];
    return [
      { ...range, last: Math.min(range.last, cut.first - 1) },
      { ...range, first: Math.max(range.first, cut.last + 1) },
    ].filter(({ first, last }) => first <= last);
  });
}

const overlaps = (a, b) => a.first <= b.last && b.first <= a.last;

export class Worker {
  #opts;
  #server;
  #sockets = new Set();
  #port = 0;
  #beat;
  #expiry;
  #life = 0;
  /** Second answers that arrive late, by connection. */
  #extra = new WeakMap();
  /** Share of the answers that are sent twice, the second time late. */
  garbledShare = 0;
  /** Share of the answers that have no length and end with the connection. */
  unframedShare = 0;
  /** Share of the answers that have no length and are reset on the way. */
  brokenShare = 0;
  /** Lost with the process. */
  #state;

  /**
   * @param opts - id, service, zone, host, store, slots, sharded, workMs (a
   * function of the request), log (called with each event)
   */
  constructor(opts) {
    this.#opts = opts;
  }

  get id() {
    return this.#opts.id;
  }

  get zone() {
    return this.#opts.zone;
  }

  /** Work on keys that would be held now had they not been released. */
  atWorkOn(first, last) {
    if (!this.up) return [];
    const { running, held, released } = this.#state;
    return [...running].filter(({ key }) =>
      first <= key && key <= last &&
      (this.#isIn(held, key) || this.#isIn(released, key))
    );
  }

  get up() {
    return this.#server !== undefined;
  }

  /** Ranges that are held now: first, last, fence. */
  get held() {
    if (!this.up) return [];
    const now = performance.now();
    return this.#state.held.filter(({ until }) => now < until);
  }

  async start() {
    clearTimeout(this.#expiry);
    this.#life++;
    this.#state = {
      held: [],
      released: [],
      tokens: [],
      running: new Set(),
      queue: [],
      born: Date.now(),
    };
    const state = this.#state;
    const server = createServer((req, res) => {
      this.#serve(state, req, res).catch(() => res.destroy());
    });
    server.keepAliveTimeout = 10_000;
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.#port, this.#opts.host, resolve);
    });
    this.#port = server.address().port;
    this.#server = server;
    this.#register("ready");
    let sequence = 0;
    // Only the sequence changes, so the entry stays as it is.
    this.#beat = setInterval(() => sequence++, HEARTBEAT_MS);
    this.#opts.log({ kind: "worker up", worker: this.id, life: this.#life });
  }

  /** The process ends at once. Its entry goes after three silent heartbeats. */
  crash() {
    const server = this.#server;
    this.#server = undefined;
    clearInterval(this.#beat);
    server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    this.#opts.log({ kind: "worker down", worker: this.id });
    this.#expiry = setTimeout(
      () => this.#opts.store.remove("servers", this.id),
      3 * HEARTBEAT_MS,
    );
  }

  close() {
    if (this.up) this.crash();
    clearTimeout(this.#expiry);
  }

  #register(state) {
    const { id, service, host, zone, slots, store } = this.#opts;
    store.put("servers", id, JSON.stringify({
      service,
      address: `${host}:${this.#port}`,
      zone,
      version: "v1",
      slots,
      state,
      warmupRemaining: "0ms",
      sequence: 0,
      born: this.#state.born,
    }));
  }

  async #serve(state, req, res) {
    const body = await readBody(req);
    const arrivedAt = performance.now();
    const extra = this.#extra.get(req.socket);
    if (extra !== undefined) {
      // At the point where the next answer is expected.
      this.#extra.delete(req.socket);
      req.socket.write(extra);
      this.#opts.log({ kind: "late second answer", worker: this.id, to: req.url });
    }
    const expected = req.headers["fescuerun-expected-instance"];
    if (req.url === "/health") {
      this.#answer(res, 200, { "fescuerun-instance-id": this.id });
    } else if (expected !== undefined && expected !== this.id) {
      this.#refuse(req, res, 421);
    } else if (req.url === "/api/grant") {
      this.#grant(state, JSON.parse(body.toString()), arrivedAt, res);
    } else if (req.url === "/api/release") {
      await this.#release(state, JSON.parse(body.toString()), res);
    } else this.#accept(state, req, res);
  }

  #grant(state, { from: first, target: last, fence, hold_time }, arrivedAt, res) {
    const { log } = this.#opts;
    const range = { first, last, fence };
    const stale = state.tokens.some((token) =>
      overlaps(token, range) && token.fence > fence
    );
    if (!stale) {
      const holdMs = parseFloat(hold_time) *
        (hold_time.endsWith("ms") ? 1 : 1000);
      state.tokens = [...subtract(state.tokens, range), range];
      state.held = [...subtract(state.held, range), {
        ...range,
        until: arrivedAt + holdMs,
      }];
    }
    log({ kind: stale ? "grant refused" : "granted", worker: this.id, ...range });
    this.#answer(res, stale ? 409 : 200, {});
  }

  async #release(state, { from: first, target: last, fence }, res) {
    const range = { first, last, fence };
    const higher = state.tokens.filter((token) =>
      overlaps(token, range) && token.fence > fence
    );
    state.tokens = [...subtract(state.tokens, range), range];
    for (const token of higher) {
      state.tokens = [...subtract(state.tokens, token), token];
    }
    state.released.push(...state.held.filter((held) => overlaps(held, range)));
    state.held = subtract(state.held, range);
    this.#opts.log({ kind: "released", worker: this.id, ...range });
    const busy = () =>
      [...state.running].some(({ key }) => first <= key && key <= last);
    while (busy()) await new Promise((resolve) => setTimeout(resolve, 10));
    this.#opts.log({ kind: "handed over", worker: this.id, ...range });
    this.#answer(res, 200, { "fescuerun-handover": `${this.id}-${fence}` });
  }

  #answer(res, status, headers, body = "") {
    const { socket } = res;
    if (socket !== null && body !== "") {
      const raw = unframedAnswer(status, headers, body);
      if (Math.random() < this.brokenShare) {
        const id = headers["fescuerun-request-id"];
        this.#opts.log({ kind: "answer reset on the way", worker: this.id, id });
        const cut = raw.length - Math.ceil(body.length * 0.4);
        socket.write(raw.slice(0, cut), () => socket.resetAndDestroy());
        return;
      }
      if (Math.random() < this.unframedShare) {
        socket.end(raw);
        return;
      }
    }
    res.writeHead(status, {
      ...headers,
      "content-length": Buffer.byteLength(body),
    });
    res.end(body);
    if (socket !== null && Math.random() < this.garbledShare) {
      this.#extra.set(socket, rawAnswer(status, headers, body));
    }
  }

  #isIn(ranges, key) {
    const now = performance.now();
    return ranges.some(({ first, last, until }) =>
      first <= key && key <= last && now < until
    );
  }

  #refuse(req, res, status) {
    const id = req.headers["fescuerun-request-id"];
    this.#answer(res, status, {
      "fescuerun-not-executed": "1",
      "fescuerun-instance-id": this.id,
      ...(id === undefined ? {} : { "fescuerun-request-id": id }),
    });
  }

  #accept(state, req, res) {
    const { sharded, slots } = this.#opts;
    const key = sharded
      ? Number(req.headers["fescuerun-shard-key"])
      : undefined;
    if (sharded && !this.#isIn(state.held, key)) {
      this.#refuse(req, res, 421);
      return;
    }
    const run = () => this.#run(state, key, req, res);
    if (state.running.size < slots) void run();
    else if (state.queue.length < MAX_QUEUED) state.queue.push(run);
    else this.#refuse(req, res, 503);
  }

  async #run(state, key, req, res) {
    const { sharded, slots, workMs, log } = this.#opts;
    const next = () => void state.queue.shift()?.();
    if (res.destroyed) return next();
    if (sharded && !this.#isIn(state.held, key)) {
      this.#refuse(req, res, 421);
      return next();
    }
    const id = req.headers["fescuerun-request-id"];
    log({ kind: "run", worker: this.id, id, key });
    const entry = { id, key };
    state.running.add(entry);
    await new Promise((resolve) => setTimeout(resolve, workMs(req)));
    state.running.delete(entry);
    const lapsed = sharded && !this.#isIn(state.held, key) &&
      !this.#isIn(state.released, key);
    this.#answer(res, lapsed ? 500 : 200, {
      "fescuerun-request-id": id,
      "fescuerun-response-signature": `s.${this.id}.${id}`,
      "fescuerun-server-load":
        `${state.running.size},${state.queue.length},${slots},100`,
    }, answerBody(id));
    next();
  }
}
