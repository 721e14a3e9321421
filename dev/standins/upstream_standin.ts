import { writeSync } from "node:fs";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { z } from "zod";
import { systemClock } from "../../src/base/system_clock.ts";
import { Grant } from "../../src/contracts/grant.ts";
import { HOP_HEADER } from "../../src/links/hop_header.ts";
import { listenOn } from "./listen_on.ts";
import { readBody } from "./read_body.ts";
import { sendJson } from "./send_json.ts";
import { UpstreamFaults } from "./upstream_faults.ts";
import { UpstreamGrants } from "./upstream_grants.ts";
import { UpstreamJournal } from "./upstream_journal.ts";
import { UpstreamOptions } from "./upstream_options.ts";
import { UpstreamColdStart } from "./upstream_cold_start.ts";

const STATUS_SHED = 503;
const STATUS_CONFLICT = 409;

function header(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === "string" ? value : "";
}

function isClosed(res: ServerResponse): boolean {
  return res.destroyed;
}

/**
 * Stand-in for one upstream on a loopback port: slots, fenced grants, cold
 * start, load shedding and faults. A request for any path other than its own
 * endpoints takes effect once, after the service time, and its body is echoed.
 */
export class UpstreamStandin {
  readonly journal = new UpstreamJournal();
  readonly #options: UpstreamOptions;
  readonly #rng: ReturnType<typeof xoroshiro128plus>;
  readonly #grants = new UpstreamGrants(this.journal);
  readonly #coldStart: UpstreamColdStart;
  readonly #server = createServer((req, res) => {
    this.#serve(req, res).catch(() => res.destroy());
  });
  readonly #sockets = new Set<Socket>();
  readonly #silencedSockets = new WeakSet<Socket>();
  readonly #slotQueue: (() => void)[] = [];
  #faults = UpstreamFaults.parse({});
  #usedSlots = 0;

  /**
   * @param options - behaviour
   */
  constructor(options: z.input<typeof UpstreamOptions>) {
    this.#options = UpstreamOptions.parse(options);
    this.#rng = xoroshiro128plus(this.#options.seed);
    this.#coldStart = new UpstreamColdStart({
      startsCold: this.#options.startsCold,
      ratePerS: this.#options.coldRatePerS,
      warmUpMs: this.#options.warmUpMs,
    });
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  /**
   * @param port - loopback port, 0 for a free one
   * @returns its address as `ip:port`
   */
  async start(port = 0): Promise<string> {
    return `127.0.0.1:${await listenOn(this.#server, port)}`;
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  /**
   * @param faults - replaces the current faults
   */
  setFaults(faults: Partial<UpstreamFaults>): void {
    this.#faults = UpstreamFaults.parse(faults);
    if (this.#faults.restartCold) this.#coldStart.restart();
    if (this.#faults.silenceOpenConnections) {
      for (const socket of this.#sockets) this.#silencedSockets.add(socket);
    }
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const path = (req.url ?? "/").split("?")[0] ?? "/";
    const body = await readBody(req);
    if (this.#silencedSockets.has(req.socket)) return;
    switch (path) {
      case "/health":
        await systemClock.sleep(this.#options.healthLagMs);
        sendJson(res, 200, {
          state: this.#state(),
          boot: this.#coldStart.boot,
        });
        return;
      case "/load":
        sendJson(res, 200, { load: this.#usedSlots / this.#options.slots });
        return;
      case "/grants":
        this.#serveGrants(req, body, res);
        return;
      case "/control/faults":
        this.setFaults(UpstreamFaults.parse(JSON.parse(body.toString())));
        sendJson(res, 200, this.#faults);
        return;
      case "/control/journal":
        sendJson(res, 200, this.journal);
        return;
      default:
        await this.#serveRequest(req, body, res);
    }
  }

  #state(): "cold" | "warm" | "draining" {
    if (this.#faults.draining) return "draining";
    return this.#coldStart.isCold() ? "cold" : "warm";
  }

  #serveGrants(req: IncomingMessage, body: Buffer, res: ServerResponse): void {
    if (req.method !== "PUT") {
      sendJson(res, 200, this.#grants.state());
      return;
    }
    const grant = Grant.safeParse(JSON.parse(body.toString()));
    if (!grant.success) {
      sendJson(res, 400, { message: grant.error.message });
      return;
    }
    const accepted = this.#grants.replaceIfNewer(grant.data);
    sendJson(res, accepted ? 200 : STATUS_CONFLICT, this.#grants.state());
  }

  #refuse(res: ServerResponse, reason: "grant" | "shed" | "draining"): void {
    if (reason === "grant") this.journal.staleRefusals += 1;
    sendJson(
      res,
      reason === "grant" ? STATUS_CONFLICT : STATUS_SHED,
      { message: reason },
      { [HOP_HEADER.notRun]: reason, ...this.#stateHeaders() },
    );
  }

  #stateHeaders(): Record<string, string> {
    return {
      [HOP_HEADER.boot]: this.#coldStart.boot,
      [HOP_HEADER.state]: this.#state(),
    };
  }

  async #serveRequest(
    req: IncomingMessage,
    body: Buffer,
    res: ServerResponse,
  ): Promise<void> {
    const reason = this.#refusalReason(req);
    if (reason !== undefined) {
      this.#refuse(res, reason);
      return;
    }
    if (!this.#admits()) {
      // Load above the limits of a cold upstream makes it restart.
      this.journal.coldOverloads += 1;
      this.#coldStart.restart();
      for (const socket of this.#sockets) socket.destroy();
      return;
    }
    const deadlineAt = systemClock.now() +
      Number(header(req, HOP_HEADER.deadlineMs) || Infinity);
    await this.#takeSlot();
    try {
      if (isClosed(res)) return;
      const serviceMs = this.#drawServiceMs();
      await systemClock.sleep(serviceMs * this.#faults.slowFactor);
      if (isClosed(res) || systemClock.now() > deadlineAt) {
        this.#refuse(res, "shed");
        return;
      }
      if (!this.#hasGrant(req)) {
        this.#refuse(res, "grant");
        return;
      }
      const id = header(req, "x-test-id");
      // Synchronous, so that the line is written even if the process is killed
      // right after.
      if (this.#options.printEffects) writeSync(1, `effect ${id}\n`);
      this.journal.recordEffect({
        id,
        key: header(req, "x-test-key"),
        unit: header(req, HOP_HEADER.unit),
      });
      this.#respond(req, body, res, serviceMs);
    } finally {
      this.#freeSlot();
    }
  }

  #refusalReason(
    req: IncomingMessage,
  ): "draining" | "shed" | "grant" | undefined {
    if (this.#faults.draining) return "draining";
    if (this.#faults.shedding) return "shed";
    return this.#hasGrant(req) ? undefined : "grant";
  }

  #hasGrant(req: IncomingMessage): boolean {
    if (!this.#options.checksGrants) return true;
    return this.#grants.allows(
      header(req, HOP_HEADER.unit),
      Number(header(req, HOP_HEADER.epoch)),
    );
  }

  #admits(): boolean {
    if (!this.#coldStart.isCold()) return true;
    const concurrent = this.#usedSlots + this.#slotQueue.length;
    return concurrent < this.#options.coldConcurrency &&
      this.#coldStart.admit();
  }

  #respond(
    req: IncomingMessage,
    body: Buffer,
    res: ServerResponse,
    serviceMs: number,
  ): void {
    res.writeHead(200, {
      "content-type": header(req, "content-type") || "text/plain",
      "content-length": body.length,
      "x-test-id": header(req, "x-test-id"),
      "x-served-by": this.#options.id,
      // The drawn time, which includes `slowFactor` once; the slot is held for
      // this time multiplied by `slowFactor` again.
      "x-service-ms": String(serviceMs),
      ...this.#stateHeaders(),
    });
    if (!this.#faults.truncating) {
      res.end(body);
      return;
    }
    res.write(body.subarray(0, Math.floor(body.length / 2)), () => {
      res.destroy();
    });
  }

  #drawServiceMs(): number {
    // Exponentially distributed, since equal service times hide queueing.
    return -Math.log(1 - uniformFloat64(this.#rng)) *
      this.#options.serviceMs *
      this.#faults.slowFactor;
  }

  async #takeSlot(): Promise<void> {
    if (this.#usedSlots >= this.#options.slots) {
      await new Promise<void>((resolve) => this.#slotQueue.push(resolve));
    } else {
      this.#usedSlots += 1;
    }
    this.journal.maxConcurrent = Math.max(
      this.journal.maxConcurrent,
      this.#usedSlots + this.#slotQueue.length,
    );
  }

  #freeSlot(): void {
    const next = this.#slotQueue.shift();
    if (next === undefined) this.#usedSlots -= 1;
    else next();
  }
}
