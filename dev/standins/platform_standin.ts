import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { systemClock } from "../../src/base/system_clock.ts";
import { ListedVm } from "../../src/contracts/listed_vm.ts";
import { TableTransaction } from "../../src/contracts/table_transaction.ts";
import { listenOn } from "./listen_on.ts";
import { PlatformFaults } from "./platform_faults.ts";
import { readBody } from "./read_body.ts";
import { sendJson } from "./send_json.ts";
import { TableStore } from "./table_store.ts";

const OBJECT_PREFIX = "/v1/objects/";

/**
 * Stand-in for the platform's table service, object store and VM list on one
 * loopback port. `POST /control/faults` sets faults, `POST /control/vms` sets
 * the VM list, `GET /control/counts` returns the number of calls of the table
 * service.
 */
export class PlatformStandin {
  readonly table = new TableStore();
  /** Calls of the table service, including those that a fault prevented. */
  readonly #received = { receivedReads: 0, receivedWrites: 0 };
  readonly #objects = new Map<string, Buffer>();
  readonly #server = createServer((req, res) => {
    this.#serve(req, res).catch(() => res.destroy());
  });
  #faults = PlatformFaults.parse({});
  #vms: ListedVm[] = [];

  /**
   * @param port - loopback port, 0 for a free one
   * @returns the base URL of all three services
   */
  async start(port = 0): Promise<string> {
    return `http://127.0.0.1:${await listenOn(this.#server, port)}`;
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  /**
   * @param faults - replaces the current faults
   */
  setFaults(faults: Partial<PlatformFaults>): void {
    this.#faults = PlatformFaults.parse(faults);
  }

  /**
   * @param vms - replaces the current VM list
   */
  setVms(vms: ListedVm[]): void {
    this.#vms = vms;
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? "/", "http://platform");
    const body = await readBody(req);
    if (url.pathname.startsWith("/control/")) {
      this.#serveControl(url.pathname, body, res);
      return;
    }
    if (url.pathname === "/v1/rows") this.#received.receivedReads += 1;
    if (url.pathname === "/v1/transact") this.#received.receivedWrites += 1;
    if (this.#faults.hang) return;
    await systemClock.sleep(this.#faults.delayMs);
    const vm = req.headers["fescuerun-vm"];
    if (typeof vm === "string" && this.#faults.cutOff.includes(vm)) {
      res.destroy();
      return;
    }
    if (url.pathname === "/v1/vms") {
      sendJson(res, 200, { vms: this.#vms });
    } else if (this.#faults.outage) {
      sendJson(res, 503, { message: "outage" });
    } else if (url.pathname === "/v1/transact") {
      this.#serveTransaction(body, res);
    } else if (url.pathname === "/v1/rows") {
      sendJson(
        res,
        200,
        this.table.readRows({
          prefix: url.searchParams.get("prefix") ?? "",
          since: Number(url.searchParams.get("since") ?? 0),
        }),
      );
    } else if (url.pathname.startsWith(OBJECT_PREFIX)) {
      const name = decodeURIComponent(url.pathname.slice(OBJECT_PREFIX.length));
      this.#serveObject(req.method ?? "GET", name, body, res);
    } else {
      sendJson(res, 404, { message: "unknown path" });
    }
  }

  #serveTransaction(body: Buffer, res: ServerResponse): void {
    const parsed = TableTransaction.safeParse(JSON.parse(body.toString()));
    if (!parsed.success) {
      sendJson(res, 400, { message: parsed.error.message });
      return;
    }
    const outcome = this.table.transact(parsed.data);
    const { loseAnswers, loseAnswersOf } = this.#faults;
    const matchesPrefix = parsed.data.writes.some(({ key }) =>
      key.startsWith(loseAnswersOf)
    );
    if (outcome.committed && matchesPrefix && loseAnswers > 0) {
      this.#faults.loseAnswers -= 1;
      res.destroy();
      return;
    }
    sendJson(res, 200, outcome);
  }

  #serveObject(
    method: string,
    name: string,
    body: Buffer,
    res: ServerResponse,
  ): void {
    if (method === "PUT") this.#objects.set(name, body);
    if (method === "DELETE") this.#objects.delete(name);
    const content = method === "GET"
      ? this.#objects.get(name)
      : Buffer.alloc(0);
    if (content === undefined) {
      sendJson(res, 404, { message: "no such object" });
    } else res.writeHead(200).end(content);
  }

  #serveControl(path: string, body: Buffer, res: ServerResponse): void {
    const value: unknown = body.length === 0
      ? undefined
      : JSON.parse(body.toString());
    switch (path) {
      case "/control/faults":
        this.#faults = PlatformFaults.parse(value);
        sendJson(res, 200, this.#faults);
        return;
      case "/control/vms":
        this.#vms = ListedVm.array().parse(value);
        sendJson(res, 200, {});
        return;
      case "/control/counts":
        sendJson(res, 200, { ...this.table.counts, ...this.#received });
        return;
      default:
        sendJson(res, 404, { message: "unknown control path" });
    }
  }
}
