import type { PackedDomainLoads } from "./packed_domain_loads.ts";
import type { DomainLoad } from "./domain_load.ts";

/**
 * @param packed - received loads
 * @returns the loads; those that name no domain are left out
 */
export function unpackDomainLoads(packed: PackedDomainLoads): DomainLoad[] {
  const loads: DomainLoad[] = [];
  for (const [service, entries] of Object.entries(packed.loads)) {
    for (const [index, inFlight, workPerS = 0] of entries) {
      const domain = packed.domains[index];
      if (domain === undefined) continue;
      loads.push({ service, domain, inFlight, workPerS });
    }
  }
  return loads;
}
