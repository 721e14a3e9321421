import type { FleetView } from "../direct/fleet_view.ts";

type View = Pick<FleetView, "policy" | "upstreams" | "isUsable">;
type Capacity = { upstreams: number; slots: number };

/**
 * @param view - services and upstreams
 * @param service - name of a service; undefined for all
 * @returns number and slots of the usable upstreams, by service and failure
 * domain; keyed services are left out, as the owners of their keys are fixed
 */
export function domainCapacities(
  view: View,
  service?: string,
): Map<string, Map<string, Capacity>> {
  const services = new Map<string, Map<string, Capacity>>();
  for (const upstream of view.upstreams) {
    const { entry } = upstream;
    if (service !== undefined && entry.service !== service) continue;
    if (!view.isUsable(upstream)) continue;
    let domains = services.get(entry.service);
    if (domains === undefined) {
      if (view.policy(entry.service)?.keyed !== false) continue;
      domains = new Map();
      services.set(entry.service, domains);
    }
    const capacity = domains.get(entry.failureDomain);
    if (capacity === undefined) {
      domains.set(entry.failureDomain, { upstreams: 1, slots: entry.slots });
    } else {
      capacity.upstreams++;
      capacity.slots += entry.slots;
    }
  }
  return services;
}
