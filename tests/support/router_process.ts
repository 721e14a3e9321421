import { execFileSync } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { freePorts } from "../../dev/deployment/free_ports.ts";
import { ManagedProcess } from "../../dev/deployment/managed_process.ts";
import { waitUntil } from "../../dev/deployment/wait_until.ts";
import { MemoryRowStore } from "../../dev/standins/memory_row_store.ts";
import { configRow } from "../../platform/standins/config_row.ts";
import { RowStoreServer } from "../../platform/standins/row_store_server.ts";
import { settingsText } from "../../platform/standins/settings_text.ts";
import { upstreamRow } from "../../platform/standins/upstream_row.ts";
import { UpstreamServer } from "../../platform/standins/upstream_server.ts";
import { systemClock } from "../../src/base/system_clock.ts";

const HOST = "h.example";
const START_TIMEOUT_MS = 30_000;
const ANSWER_TIMEOUT_MS = 2000;
const KIB = 1024;
/** Flags of `run` in `deploy/system.toml`, without that of the heap. */
const NODE_FLAGS = ["--max-semi-space-size=1"];
const UPSTREAMS = 2;
const SLOTS = 16;
const SERVICE_MS = 5;

type Limits = { heapMb: number; memoryMb: number; fileDescriptors: number };

/** A router process with a stand-in store and stand-in upstreams. */
export class RouterProcess {
  readonly #process: ManagedProcess;
  readonly #pid: number;
  readonly #ports: readonly number[];
  readonly #log: string;
  readonly #closeStandins: () => void;

  private constructor(
    started: ManagedProcess,
    ports: readonly number[],
    log: string,
    closeStandins: () => void,
  ) {
    this.#process = started;
    this.#pid = started.pid ?? 0;
    this.#ports = ports;
    this.#log = log;
    this.#closeStandins = closeStandins;
  }

  /** Bundles the router as the build of `deploy/system.toml` does. */
  static bundle(): void {
    execFileSync(process.execPath, ["scripts/bundle_router.mjs"]);
  }

  /**
   * Starts a router and waits until it serves requests.
   *
   * @param limits - heap of the process in MB, and memory in MB and file
   * descriptors in its settings file
   */
  static async start(limits: Limits): Promise<RouterProcess> {
    const memory = new MemoryRowStore(systemClock);
    const store = await new RowStoreServer(memory).listen();
    const upstreams = Array.from(
      { length: UPSTREAMS },
      (_, n) =>
        new UpstreamServer({
          id: `i-${n}`,
          keyed: false,
          slots: SLOTS,
          serviceMs: SERVICE_MS,
          clock: systemClock,
          onEvent: () => undefined,
        }),
    );
    const service = "s1";
    memory.put(
      "op",
      "config",
      configRow({
        version: 1,
        host: HOST,
        services: [{ name: service, keyed: false, maxConnections: 64 }],
        routes: [{ name: "r1", prefix: "/a/", service, idempotent: true }],
      }),
    );
    for (const [n, upstream] of upstreams.entries()) {
      const port = await upstream.listen(0);
      memory.put(
        "servers",
        `i-${n}`,
        upstreamRow({
          service,
          address: `127.0.0.1:${port}`,
          failureDomain: "a1",
          slots: SLOTS,
          draining: false,
          startedAt: 1,
          beat: 1,
        }),
      );
    }
    const ports = await freePorts(4);
    const [callers = 0, readiness = 0, peers = 0, metrics = 0] = ports;
    const dir = mkdtempSync(join(tmpdir(), "router-"));
    const settings = join(dir, "settings.toml");
    writeFileSync(
      settings,
      settingsText({
        vm: "vm-1",
        failureDomain: "a1",
        regionOf: { a1: "a" },
        ports: { callers, readiness, peers },
        storeAddress: `127.0.0.1:${store.port}`,
      }) +
        `[limits]\nmemoryMb = ${limits.memoryMb}\n` +
        `fileDescriptors = ${limits.fileDescriptors}\n`,
    );
    const log = join(dir, "log");
    const started = new ManagedProcess([
      `--max-old-space-size=${limits.heapMb}`,
      ...NODE_FLAGS,
      "target/start.cjs",
      "target/router.cjs",
      "serve-on-platform",
      "--settings",
      settings,
      "--metrics-port",
      String(metrics),
    ], log);
    started.start();
    const router = new RouterProcess(started, ports, log, () => {
      store.close();
      for (const upstream of upstreams) upstream.close();
    });
    await waitUntil(
      "a served request",
      START_TIMEOUT_MS,
      async () => await router.isReady() && await router.isServing(),
    );
    return router;
  }

  /** @returns host of the configuration's only route, whose prefix is `/a/` */
  get host(): string {
    return HOST;
  }

  /** @returns port of the callers' listener */
  get callerPort(): number {
    return this.#ports[0] ?? 0;
  }

  /** @returns port of the readiness path */
  get readinessPort(): number {
    return this.#ports[1] ?? 0;
  }

  /** @returns whether the process has not ended */
  get running(): boolean {
    return this.#process.pid !== undefined;
  }

  /** @returns the end of the process's output, for failures */
  get lastOutput(): string {
    return readFileSync(this.#log, "utf8").slice(-2000);
  }

  /** @returns highest resident memory so far, in MB; 0 if the process ended */
  get peakMemoryMb(): number {
    try {
      const status = readFileSync(`/proc/${this.#pid}/status`, "utf8");
      return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) / KIB;
    } catch {
      return 0;
    }
  }

  /** @returns number of open descriptors; 0 if the process ended */
  get openDescriptors(): number {
    try {
      return readdirSync(`/proc/${this.#pid}/fd`).length;
    } catch {
      return 0;
    }
  }

  /** @returns whether the readiness path answers that the router is ready */
  isReady(): Promise<boolean> {
    return this.#get(this.readinessPort, "/api/ready");
  }

  /** @returns whether an ordinary request is served by an upstream */
  isServing(): Promise<boolean> {
    return this.#get(this.callerPort, "/a/ordinary");
  }

  /** Kills the process, and stops its store and upstreams. */
  async close(): Promise<void> {
    this.#process.signal("SIGKILL");
    await this.#process.ended();
    this.#closeStandins();
  }

  async #get(port: number, path: string): Promise<boolean> {
    const { request } = await import("node:http");
    return new Promise((resolve) => {
      const req = request({
        port,
        host: "127.0.0.1",
        path,
        agent: false,
        headers: {
          "host": HOST,
          "fescuerun-request-id": `ordinary-${systemClock.now()}`,
        },
        timeout: ANSWER_TIMEOUT_MS,
      }, (res) => {
        res.resume();
        res.once("close", () => resolve(res.statusCode === 200));
      });
      req.once("timeout", () => req.destroy());
      req.once("error", () => resolve(false));
      req.end();
    });
  }
}
