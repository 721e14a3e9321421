import { freePorts } from "../../dev/deployment/free_ports.ts";
import { MemoryRowStore } from "../../dev/standins/memory_row_store.ts";
import { GrantClient } from "../../platform/grant_client.ts";
import { httpHeaders } from "../../platform/http_headers.ts";
import { OperatorRows } from "../../platform/operator_rows.ts";
import { RegistryRows } from "../../platform/registry_rows.ts";
import { RowStoreServer } from "../../platform/standins/row_store_server.ts";
import { TableClient } from "../../platform/table_client.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { DirectDaemon } from "../../src/direct/direct_daemon.ts";
import { DirectMetrics } from "../../src/direct/direct_metrics.ts";
import { silentLogger } from "./silent_logger.ts";

const POLL_INTERVAL_MS = 50;

/** A router with its own store, both on loopback ports. */
export class PlatformRouter {
  readonly memory = new MemoryRowStore(systemClock);
  readonly metrics = new DirectMetrics();
  readonly #stop = new AbortController();
  readonly #ports: readonly number[];
  readonly #http: RowStoreServer;
  readonly #store: TableClient;
  readonly #ended: Promise<void>;

  private constructor(
    memory: MemoryRowStore,
    http: RowStoreServer,
    ports: readonly number[],
    stopMs: number,
  ) {
    this.memory = memory;
    this.#http = http;
    this.#ports = ports;
    this.#store = new TableClient({
      address: `127.0.0.1:${http.port}`,
      clock: systemClock,
    });
    const [callers = 0, readiness = 0, peers = 0] = ports;
    const logger = silentLogger();
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
        stopMs,
        retries: { ratio: 0.2, windowMs: 10_000, slack: 60 },
        quota: { windowMs: 5000, overage: 0.1, slack: 20 },
        changeBoundMs: 2500,
        contactMs: 3000,
        maxHoldMs: 10_000,
        bodyMemoryBytes: 1024 * 1024,
        clients: {
          memoryBytes: 16 * 1024 * 1024,
          connections: 1000,
          headerLines: 4096,
          unreadTimeoutMs: 10_000,
        },
        cores: undefined,
      },
      clock: systemClock,
      logger,
      metrics: this.metrics,
      store: this.#store,
      protocol: httpHeaders,
      readinessPath: "/api/ready",
      peerCredential: "c",
      grants: (signal) => new GrantClient(systemClock, signal),
      sources: (view) => {
        const operators = new OperatorRows(view, logger, this.metrics);
        const registry = new RegistryRows(view, logger, this.metrics);
        return {
          operators: {
            table: "op",
            onSnapshot: (rows, origin) => operators.onSnapshot(rows, origin),
            onChanges: (changes, origin) =>
              operators.onChanges(changes, origin),
          },
          registry: {
            table: "servers",
            onSnapshot: (rows, origin) => registry.onSnapshot(rows, origin),
            onChanges: (changes, origin) => registry.onChanges(changes, origin),
          },
        };
      },
    });
    this.#ended = daemon.run(this.#stop.signal);
  }

  /**
   * Starts a router whose store has the given rows.
   *
   * @param rows - table, key and value of each row
   * @param stopMs - time for a graceful stop, in milliseconds
   */
  static async start(
    rows: readonly (readonly [string, string, string])[],
    stopMs = 2000,
  ): Promise<PlatformRouter> {
    const memory = new MemoryRowStore(systemClock);
    for (const row of rows) memory.put(...row);
    const http = await new RowStoreServer(memory).listen();
    return new PlatformRouter(memory, http, await freePorts(3), stopMs);
  }

  /** @returns port of the callers' listener */
  get port(): number {
    return this.#ports[0] ?? 0;
  }

  /** @returns whether the router reports that it is ready */
  async isReady(): Promise<boolean> {
    try {
      const url = `http://127.0.0.1:${this.#ports[1]}/api/ready`;
      return (await fetch(url)).status === 200;
    } catch {
      return false; // not listening yet
    }
  }

  /** @param condition - polled until it is true and the router is ready */
  async until(condition: () => boolean | Promise<boolean>): Promise<void> {
    while (!await condition() || !await this.isReady()) {
      await systemClock.sleep(POLL_INTERVAL_MS);
    }
  }

  /**
   * Restores the store from a copy after it was away for a moment.
   *
   * @param copy - what the store held before
   * @param awayMs - time for which it is unreachable, in milliseconds
   */
  restoreStore(
    copy: ReturnType<MemoryRowStore["copy"]>,
    awayMs: number,
  ): Promise<void> {
    return this.#http.restore(copy, systemClock.sleep(awayMs));
  }

  /** Starts the graceful stop. */
  stop(): void {
    this.#stop.abort();
  }

  /** Stops the router and its store, and waits for their end. */
  async close(): Promise<void> {
    this.stop();
    await this.#ended;
    await this.#store.close();
    this.#http.close();
  }
}
