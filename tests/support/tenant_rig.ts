import { httpHeaders } from "../../platform/http_headers.ts";
import { readTenants } from "../../platform/read_tenants.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { DirectListener } from "../../src/direct/direct_listener.ts";
import { DirectMetrics } from "../../src/direct/direct_metrics.ts";
import { DirectRouter } from "../../src/direct/direct_router.ts";
import type { Route } from "../../src/direct/route.ts";
import { WorkTimes } from "../../src/direct/work_times.ts";
import { FleetRetryBudget } from "../../src/limits/fleet_retry_budget.ts";
import type { TenantLimiter } from "../../src/limits/tenant_limiter.ts";
import { FleetRig } from "./fleet_rig.ts";
import { RawCaller } from "./raw_caller.ts";
import { RawUpstream } from "./raw_upstream.ts";
import { silentLogger } from "./silent_logger.ts";

const ANSWER = "Fescuerun-Response-Signature: s\r\nContent-Length: 4\r\n";

/** Keys by the name of their tenant. */
type Keys = Record<string, string[]>;

/**
 * Listener and router with two upstreams, a route `/a/` that requires a key and
 * a public route `/open/`.
 */
export class TenantRig {
  readonly fleet = new FleetRig(systemClock, 1);
  readonly metrics = new DirectMetrics();
  readonly lines: { level: string; args: unknown[] }[] = [];
  /** Heads and bodies that the upstreams have received. */
  readonly received: string[] = [];
  /** Called for each request that an upstream receives. */
  onReceived: () => void = () => undefined;
  /**
   * Status line and headers of the upstreams' next answers, "" for none; then
   * 200.
   */
  answers: string[] = [];
  /** What the limiter answers. */
  admission: ReturnType<TenantLimiter["admit"]> = { kind: "admitted" };
  readonly admitted: string[] = [];
  #version = 0;
  #callers: RawCaller[] = [];
  #upstreams: RawUpstream[] = [];
  #listener: DirectListener | undefined;
  #port = 0;
  #fields: Partial<Route> = {};

  /** @param fields - fields of the route that requires a key */
  async start(fields: Partial<Route> = {}): Promise<this> {
    const { fleet: { view, clock }, metrics } = this;
    this.#fields = fields;
    const logger = silentLogger(this.lines);
    view.setRegistry([]);
    for (const id of ["u-1", "u-2"]) {
      const upstream = await new RawUpstream((socket, text) => {
        this.received.push(text);
        this.onReceived();
        const requestId = /request-id: (\S+)/.exec(text)?.[1] ?? "";
        const head = this.answers.shift() ?? `200 OK\r\n${ANSWER}`;
        if (head === "") return;
        socket.write(
          `HTTP/1.1 ${head}Fescuerun-Request-Id: ${requestId}\r\n\r\n`,
        );
        socket.write("body");
      }).listen();
      this.#upstreams.push(upstream);
      this.fleet.upstream({ id, address: `127.0.0.1:${upstream.port}` });
    }
    const router = new DirectRouter({
      view,
      work: new WorkTimes(),
      protocol: httpHeaders,
      budget: new FleetRetryBudget({
        clock,
        bound: { ratio: 0, windowMs: 10_000, slack: 50 },
        vms: () => 1,
      }),
      clock,
      logger,
      metrics,
      location: { vm: "vm-1", failureDomain: "a1", region: "a" },
      countKey: () => undefined,
      onStaleOwnership: () => undefined,
      configAgeMs: () => 0,
      registryAgeMs: () => 0,
      limiter: {
        admit: ({ name }) => {
          this.admitted.push(name);
          return this.admission;
        },
      },
    });
    this.#listener = new DirectListener({
      clock,
      logger,
      router,
      protocol: httpHeaders,
      maxBodyBytes: () => 1000,
      bodyMemoryBytes: 10_000,
      metrics,
      readinessDelayMs: 0,
    });
    this.#port = await this.#listener.listen("127.0.0.1:0");
    return this;
  }

  /**
   * Applies a new configuration.
   *
   * @param keys - the tenants; undefined for a configuration without tenants
   * @param fields - fields of the route that requires a key
   * @returns its version
   */
  configure(keys?: Keys, fields: Partial<Route> = {}): number {
    const tenants = keys && Object.entries(keys).map(([name, apiKeys]) => ({
      name,
      apiKeys,
    }));
    const version = ++this.#version;
    const route = this.fleet.route({ objectiveMs: 900, ...this.#fields });
    this.fleet.view.setConfig({
      ...this.fleet.configure([], [{}], 0),
      version,
      routes: [
        { ...route, ...fields },
        { ...route, name: "r2", prefix: "/open/", public: true },
      ],
      tenants: readTenants(tenants, []),
    });
    return version;
  }

  /** Connects a caller. */
  caller(): RawCaller {
    const caller = new RawCaller(this.#port);
    this.#callers.push(caller);
    return caller;
  }

  /**
   * Sends one request on a new connection.
   *
   * @param lines - further header lines
   * @param path - path of the request
   * @returns status and text of the answer
   */
  async send(lines: string[], path = "/a/x") {
    const head = [`GET ${path} HTTP/1.1`, "Host: h.example", ...lines];
    const text = await this.caller().write(`${head.join("\r\n")}\r\n\r\n`)
      .until(/\r\n\r\n.+/s);
    return { status: Number(text.slice(9, 12)), text };
  }

  async close(): Promise<void> {
    for (const { socket } of this.#callers) socket.destroy();
    for (const upstream of this.fleet.view.upstreams) upstream.close();
    for (const upstream of this.#upstreams) upstream.close();
    await this.#listener?.drain({ stopMs: 1000, signal: AbortSignal.abort() });
  }
}
