import type { PackedZoneLoads } from "./packed_zone_loads.ts";
import type { ZoneLoad } from "./zone_load.ts";

/**
 * @param packed - received loads
 * @returns the loads; those that name no zone are left out
 */
export function unpackZoneLoads(packed: PackedZoneLoads): ZoneLoad[] {
  const loads: ZoneLoad[] = [];
  for (const [service, entries] of Object.entries(packed.loads)) {
    for (const [index, inFlight, workPerS = 0] of entries) {
      const zone = packed.zones[index];
      if (zone === undefined) continue;
      loads.push({ service, zone, inFlight, workPerS });
    }
  }
  return loads;
}
