import type { RoutingConfig } from "./routing_config.ts";

/**
 * @param config - routes and tenants of one configuration
 * @returns for each service the lowest priority number that a request to it can
 * have; a tenant's priority replaces that of a route which requires a key
 */
export function mostUrgentPriorities(
  config: Pick<RoutingConfig, "routes" | "tenants">,
): Map<string, number> {
  const { routes, tenants = [] } = config;
  const lowest = new Map<string, number>();
  for (const route of routes) {
    const replacements = route.public === true || tenants.length === 0
      ? [route.priority]
      : tenants.map(({ priority }) => priority ?? route.priority);
    const priority = Math.min(...replacements);
    for (const { service } of route.parts) {
      lowest.set(service, Math.min(priority, lowest.get(service) ?? priority));
    }
  }
  return lowest;
}
