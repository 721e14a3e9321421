import type { FleetView } from "../direct/fleet_view.ts";

/** With fewer upstreams, one slow upstream makes up much of a domain. */
const MIN_UPSTREAMS = 8;
/** With fewer slots, the queue of one upstream says little about the next. */
const MIN_MEAN_SLOTS = 4;

/**
 * @param view - services and upstreams
 * @param service - name of a service
 * @param domain - a failure domain
 * @returns whether the service has enough capacity in the failure domain for
 * shared load figures to decide when requests leave it; never for keyed
 * services, whose owners are fixed
 */
export function isBalancedDomain(
  view: Pick<FleetView, "policy" | "upstreams" | "isUsable">,
  service: string,
  domain: string,
): boolean {
  const policy = view.policy(service);
  if (policy === undefined || policy.keyed) return false;
  let upstreams = 0;
  let slots = 0;
  for (const upstream of view.upstreams) {
    const { entry } = upstream;
    if (
      entry.service !== service || entry.failureDomain !== domain ||
      !view.isUsable(upstream)
    ) continue;
    upstreams++;
    slots += entry.slots;
  }
  return upstreams >= MIN_UPSTREAMS && slots >= MIN_MEAN_SLOTS * upstreams;
}
