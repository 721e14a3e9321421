// Stand-in of the platform's row store (PROTOCOL.md). All machines share one set
// of rows; each machine has its own port, which can be silent.
import { createServer } from "node:http";

const MAX_ROWS_PER_PAGE = 500;

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

export class Store {
  #rows = new Map();
  #changes = [];
  #waiters = new Set();
  #servers = [];
  #silent = new Set();
  version = 0;
  /** Called with the machine and the transaction after it was applied. */
  onTransaction = () => undefined;

  /** Opens a port for one machine and returns it. */
  async listen(host, machine) {
    const server = createServer((req, res) => {
      this.#serve(machine, req, res).catch(() => res.destroy());
    });
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => server.listen(0, host, resolve));
    this.#servers.push(server);
    return server.address().port;
  }

  close() {
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** The store gives this machine no response any more, or does again. */
  setSilent(machine, silent) {
    if (silent) this.#silent.add(machine);
    else this.#silent.delete(machine);
  }

  put(table, key, value) {
    const rowVersion = ++this.version;
    const row = {
      table,
      part: "",
      key,
      value: Buffer.from(value).toString("base64"),
      rowVersion,
    };
    this.#rows.set(`${table}/${key}`, row);
    this.#changes.push(row);
    this.#wake();
  }

  remove(table, key) {
    if (!this.#rows.delete(`${table}/${key}`)) return;
    const rowVersion = ++this.version;
    this.#changes.push({ table, part: "", key, rowVersion, deleted: true });
    this.#wake();
  }

  row(table, key) {
    return this.#rows.get(`${table}/${key}`);
  }

  #wake() {
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    for (const wake of waiters) wake();
  }

  async #serve(machine, req, res) {
    const body = await readBody(req);
    // A call that gets no response; nothing is done.
    if (this.#silent.has(machine)) return;
    const url = new URL(req.url, "http://store");
    const send = (status, value) => {
      if (this.#silent.has(machine)) return;
      res.writeHead(status, { "content-type": "application/json" });
      res.end(JSON.stringify({
        rowVersion: this.version,
        now: `${Math.round(performance.now())}ms`,
        ...value,
      }));
    };
    switch (url.pathname) {
      case "/api/rows-tx":
        this.#transact(machine, JSON.parse(body), send);
        break;
      case "/api/rows-get":
        this.#get(url.searchParams, send);
        break;
      case "/api/rows-feed":
        await this.#feed(url.searchParams, res, send);
        break;
      default:
        send(404, {});
    }
  }

  #transact(machine, tx, send) {
    const rows = (tx.expect ?? []).map(({ table, key }) =>
      this.row(table, key)
    );
    const holds = (tx.expect ?? []).every(({ rowVersion }, index) =>
      (rows[index]?.rowVersion ?? 0) === rowVersion
    );
    if (!holds) {
      send(412, { rows: rows.filter((row) => row !== undefined) });
      return;
    }
    for (const { table, key, value } of tx.writes ?? []) {
      this.put(table, key, Buffer.from(value, "base64"));
    }
    for (const { table, key } of tx.remove ?? []) this.remove(table, key);
    // The machine that wrote may be killed before it gets the response.
    if (this.onTransaction(machine, tx) === "unanswered") return;
    send(200, {});
  }

  #get(params, send) {
    const limit = Math.min(
      MAX_ROWS_PER_PAGE,
      Number(params.get("limit") ?? MAX_ROWS_PER_PAGE),
    );
    const from = params.get("from") ?? "";
    const rows = [...this.#rows.values()]
      .filter(({ table, key }) => table === params.get("table") && key >= from)
      .sort((a, b) => a.key < b.key ? -1 : 1);
    send(200, { rows: rows.slice(0, limit), hasMore: rows.length > limit });
  }

  async #feed(params, res, send) {
    const table = params.get("table");
    const after = Number(params.get("after"));
    const until = performance.now() + Number(params.get("waitMs") ?? 0);
    for (;;) {
      const found = this.#changes.filter((change) =>
        change.table === table && change.rowVersion > after
      );
      const remainingMs = until - performance.now();
      if (found.length > 0 || remainingMs <= 0 || res.destroyed) {
        send(200, { rows: found });
        return;
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, remainingMs);
        this.#waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }
}
