import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { httpHeaders } from "../../platform/http_headers.ts";
import { readConfigRow } from "../../platform/read_config_row.ts";
import { callerProtocol } from "../../platform/standins/caller_protocol.ts";
import { configRow } from "../../platform/standins/config_row.ts";
import { UpstreamServer } from "../../platform/standins/upstream_server.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { DirectListener } from "../../src/direct/direct_listener.ts";
import { DirectMetrics } from "../../src/direct/direct_metrics.ts";
import { DirectRouter } from "../../src/direct/direct_router.ts";
import { FleetView } from "../../src/direct/fleet_view.ts";
import { WorkTimes } from "../../src/direct/work_times.ts";
import { FleetRetryBudget } from "../../src/limits/fleet_retry_budget.ts";
import type { Bench } from "./bench.ts";
import type { BenchReport } from "./bench_report.ts";
import { emptyReport } from "./empty_report.ts";
import { pushFigures } from "./push_figures.ts";
import { quietLogger } from "./quiet_logger.ts";

type Arm = "without keys" | "with keys" | "unknown key";

const ARMS: readonly Arm[] = ["without keys", "with keys", "unknown key"];
/** As in the largest deployment. */
const TENANTS = 86;
const KEYS_PER_TENANT = 3;
const CONNECTIONS = 8;
const REQUESTS_PER_BLOCK = 800;
/** The arms take turns within a repetition, so that drift affects all. */
const BLOCKS_PER_REPETITION = 6;
const WARM_UP_BLOCKS = 4;
const DEADLINE_MS = 10_000;
const HOST = "bench.example";

function keyOf(tenant: number, key: number): string {
  return `bench-key-${tenant}-${key}-0123456789abcdef`;
}

function configText(arm: Arm, version: number): string {
  const tenants = Array.from({ length: TENANTS }, (_, tenant) => ({
    name: `tenant-${tenant}`,
    keys: Array.from(
      { length: KEYS_PER_TENANT },
      (_, key) => keyOf(tenant, key),
    ),
    priority: tenant % 3,
    regions: ["a"],
  }));
  return configRow({
    version,
    host: HOST,
    services: [{ name: "s", keyed: false, maxConnections: 1000 }],
    routes: [{ name: "r", prefix: "/", service: "s", idempotent: true }],
    ...(arm === "without keys" ? {} : { tenants }),
  });
}

function requestText(arm: Arm, index: number): string {
  const apiKey = arm === "unknown key"
    ? "unknown"
    : keyOf(index % TENANTS, index % KEYS_PER_TENANT);
  const headers = callerProtocol.headers({
    id: `bench-${index}`,
    deadlineMs: DEADLINE_MS,
    key: undefined,
    ...(arm === "without keys" ? {} : { apiKey }),
  });
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  return `GET /a HTTP/1.1\r\nHost: ${HOST}\r\n${lines.join("")}\r\n`;
}

/** Sends requests one after the other; throws at an unexpected status. */
async function sendOn(socket: Socket, arm: Arm, count: number): Promise<void> {
  const status = arm === "unknown key" ? "401" : "200";
  for (let index = 0; index < count; index++) {
    socket.write(requestText(arm, index));
    const [answer] = await once(socket, "data") as [Buffer];
    const found = answer.toString("latin1", 9, 12);
    if (found !== status) throw new Error(`status ${found} in arm ${arm}`);
  }
}

/** A router, its upstream and its callers in this process. */
class Setup {
  readonly #view = new FleetView({
    clock: systemClock,
    logger: quietLogger,
    regionOf: new Map([["a1", "a"]]),
    assumedVms: 1,
    changeBoundMs: 2500,
    contactMs: 3000,
  });
  readonly #upstream = new UpstreamServer({
    id: "u",
    keyed: false,
    slots: 1000,
    serviceMs: 0,
    clock: systemClock,
    onEvent: () => undefined,
  });
  #sockets: Socket[] = [];
  #listener: DirectListener | undefined;
  #version = 0;

  async start(): Promise<void> {
    const port = await this.#upstream.listen(0);
    this.#view.setRegistry([{
      id: "u",
      incarnation: 1,
      heartbeat: 1,
      service: "s",
      address: `127.0.0.1:${port}`,
      failureDomain: "a1",
      slots: 1000,
      state: "ready",
      warmUpMs: 0,
    }]);
    const shared = {
      clock: systemClock,
      logger: quietLogger,
      metrics: new DirectMetrics(),
      protocol: httpHeaders,
    };
    this.#listener = new DirectListener({
      ...shared,
      router: new DirectRouter({
        ...shared,
        view: this.#view,
        work: new WorkTimes(),
        budget: new FleetRetryBudget({
          clock: systemClock,
          bound: { ratio: 0.2, windowMs: 10_000, slack: 60 },
          vms: () => 1,
        }),
        location: { vm: "vm-1", failureDomain: "a1", region: "a" },
        countKey: () => undefined,
        onStaleOwnership: () => undefined,
        configAgeMs: () => 0,
        registryAgeMs: () => 0,
      }),
      maxBodyBytes: () => 1000,
      bodyMemoryBytes: 1_000_000,
      readinessDelayMs: 0,
    });
    const callersPort = await this.#listener.listen("127.0.0.1:0");
    this.#sockets = Array.from(
      { length: CONNECTIONS },
      () => connect({ port: callersPort, host: "127.0.0.1", noDelay: true }),
    );
  }

  /** Returns the processor time of a block, in microseconds. */
  async runBlock(arm: Arm): Promise<number> {
    const row = {
      table: "op",
      key: "config",
      version: 1,
      value: Buffer.from(configText(arm, ++this.#version)),
    };
    this.#view.setConfig(readConfigRow(row)._unsafeUnwrap().config);
    const before = process.cpuUsage();
    await Promise.all(
      this.#sockets.map((socket) =>
        sendOn(socket, arm, REQUESTS_PER_BLOCK / CONNECTIONS)
      ),
    );
    const { user, system } = process.cpuUsage(before);
    return user + system;
  }

  async stop(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    await this.#listener?.drain({ stopMs: 1000, signal: AbortSignal.abort() });
    for (const upstream of this.#view.upstreams) upstream.close();
    this.#upstream.close();
  }
}

async function runOnce(report: BenchReport): Promise<void> {
  const setup = new Setup();
  await setup.start();
  const totalUs = new Map<Arm, number>();
  for (let block = -WARM_UP_BLOCKS; block < BLOCKS_PER_REPETITION; block++) {
    const order = block % 2 === 0 ? ARMS : [...ARMS].reverse();
    for (const arm of order) {
      const us = await setup.runBlock(arm);
      if (block >= 0) totalUs.set(arm, (totalUs.get(arm) ?? 0) + us);
    }
  }
  await setup.stop();
  const perRequestUs = (arm: Arm) =>
    (totalUs.get(arm) ?? 0) / (REQUESTS_PER_BLOCK * BLOCKS_PER_REPETITION);
  for (const arm of ARMS) {
    pushFigures(report.arms, arm, { cpuUsPerRequest: perRequestUs(arm) });
  }
  pushFigures(report.arms, "with keys", {
    moreCpuUsPerRequest: perRequestUs("with keys") -
      perRequestUs("without keys"),
  });
}

/** Measures the processor time that API keys add to a request. */
export const tenantKeysBench: Bench = {
  name: "tenant-keys",
  summary: "processor time of a request with and without API keys",
  async run({ seed, repetitions }) {
    const report = emptyReport({
      name: "tenant-keys",
      seed,
      notes: [
        `${TENANTS} tenants with ${KEYS_PER_TENANT} keys, priority and region; ` +
        "router, callers and upstream share one process, and their time is in " +
        "the figures",
      ],
    });
    for (let repetition = 0; repetition < repetitions; repetition += 1) {
      await runOnce(report);
    }
    return report;
  },
};
