import type { VmInventory } from "./vm_inventory.ts";

type Place = { region: string; failureDomain: string };

/**
 * Finds the regions that would have no failure domain in service without the
 * given one. A domain whose VMs are all leaving does not count as in service.
 * Without the VM list, only the domains of registered routers count as in
 * service; the region may have more, but not fewer.
 *
 * @param name - the failure domain to be taken out
 * @param out - failure domains that are already out of service
 * @param inventory - the known VMs
 * @returns regions of the domain in which no other domain is in service
 */
export function findLastDomainRegions(
  name: string,
  out: readonly string[],
  inventory: VmInventory,
): string[] {
  const { listed, members } = inventory;
  const known: Place[] = [...listed ?? [], ...members];
  const serving: Place[] = listed?.filter(({ state }) => state === "live") ??
    [...members];
  const regions = new Set(
    known.filter((place) => place.failureDomain === name)
      .map(({ region }) => region),
  );
  return [...regions].filter((region) =>
    !serving.some((place) =>
      place.region === region && place.failureDomain !== name &&
      !out.includes(place.failureDomain)
    )
  ).sort();
}
