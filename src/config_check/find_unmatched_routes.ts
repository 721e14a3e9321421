import { normalizeHost } from "../catalogue/normalize_host.ts";
import type { RoutingConfig } from "../direct/routing_config.ts";
import type { ConfigFinding } from "./config_finding.ts";
import { routeLabel } from "./route_label.ts";

/**
 * Finds routes that no request can match, because an earlier entry has the same
 * host and prefix. An entry that cannot be used refuses the requests of a later
 * one as well.
 *
 * @param config - a configuration
 * @returns the findings, in the order of the routes
 */
export function findUnmatchedRoutes(
  config: Pick<RoutingConfig, "routes" | "unusableRoutes">,
): ConfigFinding[] {
  const placeOf = ({ host, prefix }: { host: string; prefix: string }) =>
    `${normalizeHost(host)} ${prefix}`;
  const unusable = new Set(config.unusableRoutes.map(placeOf));
  const first = new Map<string, string>();
  return config.routes.flatMap((route): ConfigFinding[] => {
    const place = placeOf(route);
    const entry = `${routeLabel(route)} (${route.name})`;
    const before = first.get(place);
    if (before === undefined) first.set(place, route.name);
    if (unusable.has(place)) {
      const message =
        "never matches: an entry for the same host and prefix cannot be used";
      return [{ severity: "error", entry, message }];
    }
    if (before === undefined) return [];
    const message = `never matches: ${before} has the same host and prefix`;
    return [{ severity: "error", entry, message }];
  });
}
