import { FleetView } from "../../src/direct/fleet_view.ts";
import type { Route } from "../../src/direct/route.ts";
import type { RoutingConfig } from "../../src/direct/routing_config.ts";
import type { ServicePolicy } from "../../src/direct/service_policy.ts";
import type { UpstreamEntry } from "../../src/direct/upstream_entry.ts";
import type { Clock } from "../../src/base/clock.ts";
import { RangeTable } from "../../src/ranges/range_table.ts";
import type { KeyRange } from "../../src/ranges/key_range.ts";
import { ManualClock } from "./manual_clock.ts";
import { silentLogger } from "./silent_logger.ts";

const REGION_OF = new Map([["a1", "a"], ["a2", "a"], ["b1", "b"]]);

/** Builds a VM's view of the deployment for a test. */
export class FleetRig<C extends Clock = ManualClock> {
  readonly view: FleetView;
  #rangesVersion = 0;

  constructor(
    readonly clock: C,
    vms = 4,
    logger = silentLogger(),
    bounds = { changeBoundMs: 2500, contactMs: 3000 },
  ) {
    this.view = new FleetView({
      clock,
      logger,
      regionOf: REGION_OF,
      assumedVms: vms,
      ...bounds,
    });
  }

  static manual(vms?: number): FleetRig {
    return new FleetRig(new ManualClock(), vms);
  }

  /** The VM was disconnected from the registry until now. */
  reconnect(): void {
    const now = this.clock.now();
    this.view.onRegistryReconnected({ endedAt: now, failedAt: now });
  }

  route(fields: Partial<Route> = {}): Route {
    return {
      name: "r1",
      host: "h.example",
      prefix: "/a/",
      idempotent: true,
      timeoutMs: 1000,
      objectiveMs: 400,
      maxUpstreams: 2,
      priority: 1,
      parts: [{ service: "s1", weight: 1 }],
      homeRegions: [],
      ...fields,
    };
  }

  configure(
    routes: Route[],
    services: Partial<ServicePolicy>[] = [{}],
    version = 1,
  ): RoutingConfig {
    const config: RoutingConfig = {
      unusableRoutes: [],
      version,
      routes,
      services: services.map((fields) => ({
        name: "s1",
        healthPath: "/health",
        maxConnections: 100,
        warmUpMs: 3000,
        warmUpPerS: 4,
        keyed: false,
        ...fields,
      })),
      requests: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000_000,
        headersTimeoutMs: 3000,
        idleTimeoutMs: 15_000,
      },
    };
    this.view.setConfig(config);
    return config;
  }

  upstream(fields: Partial<UpstreamEntry> = {}) {
    const id = fields.id ?? "u-1";
    this.view.setUpstream({
      id,
      incarnation: 1,
      heartbeat: 1,
      service: "s1",
      address: "127.0.0.1:1",
      failureDomain: "a1",
      slots: 2,
      state: "ready",
      warmUpMs: 0,
      ...fields,
    });
    const upstream = this.view.upstream(id);
    if (upstream === undefined) throw new Error("upstream not registered");
    return upstream;
  }

  owners(...ranges: (Partial<KeyRange> & { id: string })[]) {
    this.view.setRanges(
      "s1",
      new RangeTable(++this.#rangesVersion, {
        schema: 1,
        nextFence: 100,
        ranges: ranges.map(({ id, ...range }, index) => ({
          first: 0,
          last: 65_535,
          owner: { id, incarnation: 1 },
          fence: index + 1,
          previous: [],
          ...range,
        })),
      }),
    );
  }
}
