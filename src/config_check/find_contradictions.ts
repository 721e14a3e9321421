import type { RoutingConfig } from "../direct/routing_config.ts";
import type { Route } from "../direct/route.ts";
import type { ServicePolicy } from "../direct/service_policy.ts";
import type { Tenant } from "../tenants/tenant.ts";
import type { ConfigFinding } from "./config_finding.ts";
import { routeLabel } from "./route_label.ts";

/** Connections to an upstream that carry no requests; see its pool. */
const RESERVED_CONNECTIONS = 2;

/**
 * Finds entries and limits that contradict each other.
 *
 * @param config - a configuration
 * @returns the findings: of routes, services, tenants, in this order
 */
export function findContradictions(config: RoutingConfig): ConfigFinding[] {
  return [
    ...config.routes.flatMap((route) => ofRoute(route, config)),
    ...config.services.flatMap((service) => ofService(service, config)),
    ...(config.tenants ?? []).flatMap((tenant) => ofTenant(tenant, config)),
    ...ofTenants(config),
  ];
}

function ofRoute(route: Route, config: RoutingConfig): ConfigFinding[] {
  const entry = `${routeLabel(route)} (${route.name})`;
  const findings: ConfigFinding[] = [];
  for (const { service, weight } of route.parts) {
    if (!config.services.some(({ name }) => name === service)) {
      const message = `service ${service} is not configured`;
      findings.push({ severity: "error", entry, message });
    }
    if (weight === 0) {
      const message = `service ${service} has weight 0 and gets no requests`;
      findings.push({ severity: "warning", entry, message });
    }
  }
  if (route.timeoutMs < route.objectiveMs) {
    findings.push({
      severity: "warning",
      entry,
      message: `the timeout of ${route.timeoutMs} ms is below the latency ` +
        `objective of ${route.objectiveMs} ms`,
    });
  }
  return findings;
}

function ofService(
  service: ServicePolicy,
  { routes, services }: RoutingConfig,
): ConfigFinding[] {
  const entry = `service ${service.name}`;
  const findings: ConfigFinding[] = [];
  const isUsed = routes.some(({ parts }) =>
    parts.some((part) => part.service === service.name && part.weight > 0)
  );
  if (!isUsed) {
    const message = "no route sends requests to it";
    findings.push({ severity: "warning", entry, message });
  }
  if (services.find(({ name }) => name === service.name) !== service) {
    const message = "the name occurs twice; the last entry is used";
    findings.push({ severity: "error", entry, message });
  }
  if (service.maxConnections <= RESERVED_CONNECTIONS) {
    const message = `of ${service.maxConnections} connections, ` +
      `${RESERVED_CONNECTIONS} are reserved for orders and health checks`;
    findings.push({ severity: "warning", entry, message });
  }
  if (service.warmUpMs > 0 && service.warmUpPerS === 0) {
    const message =
      `an upstream gets no requests for ${service.warmUpMs} ms after its start`;
    findings.push({ severity: "warning", entry, message });
  }
  return findings;
}

function ofTenant(tenant: Tenant, { routes }: RoutingConfig): ConfigFinding[] {
  const entry = `tenant ${tenant.name}`;
  const findings: ConfigFinding[] = [];
  if (tenant.keyDigests.length === 0) {
    const message = "it has no usable key, so all its requests are refused";
    findings.push({ severity: "error", entry, message });
  }
  if (tenant.ratePerS === 0 && tenant.burst > 0) {
    const message = "a burst without a rate has no effect: there is no limit";
    findings.push({ severity: "warning", entry, message });
  }
  for (const route of routes) {
    if (
      route.public === true || tenant.homeRegions.length === 0 ||
      route.homeRegions.length === 0 ||
      route.homeRegions.some((region) => tenant.homeRegions.includes(region))
    ) continue;
    const message = `no region is allowed both to it and to ${
      routeLabel(route)
    }`;
    findings.push({ severity: "warning", entry, message });
  }
  return findings;
}

function ofTenants({ routes, tenants }: RoutingConfig): ConfigFinding[] {
  if (tenants === undefined) return [];
  const isRequired = routes.some((route) => route.public !== true);
  if (tenants.length > 0 && isRequired) return [];
  return [{
    severity: "warning",
    entry: "tenants",
    message: isRequired
      ? "the list is empty, so that all requests of routes that are not " +
        "public are refused"
      : "all routes are public, so that no key is ever required",
  }];
}
