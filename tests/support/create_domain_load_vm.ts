import { LocalDomainLoads } from "../../src/balance/local_domain_loads.ts";
import { DomainBalancer } from "../../src/balance/domain_balancer.ts";
import { DomainLoadExchange } from "../../src/balance/domain_load_exchange.ts";
import type { Clock } from "../../src/base/clock.ts";
import { FleetView } from "../../src/direct/fleet_view.ts";
import type { Route } from "../../src/direct/route.ts";
import { silentLogger } from "./silent_logger.ts";

type Setup = {
  name: string;
  domain: string;
  regionOf: ReadonlyMap<string, string>;
  /** Number of VMs of the system. */
  vms: number;
  route: Route;
  upstreams: readonly { id: string; domain: string }[];
  slots: number;
  workMs: number;
  clock: Clock;
};

/** Creates a VM of the model of domains, with the service `s1`. */
export function createDomainLoadVm(setup: Setup) {
  const { name, domain, regionOf, clock } = setup;
  const region = regionOf.get(domain)!;
  const view = new FleetView({
    clock,
    logger: silentLogger(),
    regionOf,
    assumedVms: setup.vms,
    changeBoundMs: 2500,
    contactMs: 3000,
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
  for (const { id, domain: failureDomain } of setup.upstreams) {
    view.setUpstream({
      id,
      incarnation: 1,
      heartbeat: 1,
      service: "s1",
      address: "127.0.0.1:1",
      failureDomain,
      slots: setup.slots,
      state: "ready",
      warmUpMs: 0,
    });
  }
  const local = new LocalDomainLoads(view, domain);
  const exchange = new DomainLoadExchange({
    vm: name,
    region,
    regionOf: (other) => regionOf.get(other)!,
    localLoads: (now) => local.loads(now),
    clock,
  });
  const balancer = new DomainBalancer({
    view,
    location: { vm: name, failureDomain: domain, region },
    figures: (...args) => exchange.figures(...args),
    workMs: () => setup.workMs,
    onPlanned: () => undefined,
    onChanged: () => undefined,
  });
  return { domain, region, name, view, local, exchange, balancer };
}
