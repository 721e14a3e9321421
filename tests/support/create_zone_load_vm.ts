import { LocalZoneLoads } from "../../src/balance/local_zone_loads.ts";
import { ZoneBalancer } from "../../src/balance/zone_balancer.ts";
import { ZoneLoadExchange } from "../../src/balance/zone_load_exchange.ts";
import type { Clock } from "../../src/base/clock.ts";
import { FleetView } from "../../src/direct/fleet_view.ts";
import type { Route } from "../../src/direct/route.ts";
import { silentLogger } from "./silent_logger.ts";

type Setup = {
  name: string;
  zone: string;
  regionOf: ReadonlyMap<string, string>;
  /** Number of VMs of the system. */
  vms: number;
  route: Route;
  upstreams: readonly { id: string; zone: string }[];
  slots: number;
  workMs: number;
  clock: Clock;
};

/** Creates a VM of the model of zones, with the service `s1`. */
export function createZoneLoadVm(setup: Setup) {
  const { name, zone, regionOf, clock } = setup;
  const region = regionOf.get(zone)!;
  const view = new FleetView({
    clock,
    logger: silentLogger(),
    regionOf,
    assumedVms: setup.vms,
  });
  view.setConfig({
    version: 1,
    routes: [setup.route],
    unusableRoutes: [],
    services: [{
      name: "s1",
      healthPath: "/health",
      maxConnections: 1000,
      warmUpMs: 0,
      warmUpPerS: 1000,
      keyed: false,
    }],
    requests: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headersTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
  for (const { id, zone: failureDomain } of setup.upstreams) {
    view.setUpstream({
      id,
      incarnation: 1,
      service: "s1",
      address: "127.0.0.1:1",
      failureDomain,
      slots: setup.slots,
      state: "ready",
      warmUpMs: 0,
    });
  }
  const local = new LocalZoneLoads(view, zone);
  const exchange = new ZoneLoadExchange({
    vm: name,
    region,
    regionOf: (other) => regionOf.get(other)!,
    localLoads: (now) => local.loads(now),
    clock,
  });
  const balancer = new ZoneBalancer({
    view,
    location: { vm: name, failureDomain: zone, region },
    figures: (...args) => exchange.figures(...args),
    workMs: () => setup.workMs,
    onPlanned: () => undefined,
    onChanged: () => undefined,
  });
  return { zone, region, name, view, local, exchange, balancer };
}
