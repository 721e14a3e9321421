import type { PackedZoneLoads } from "./packed_zone_loads.ts";
import { roundLoad } from "./round_load.ts";
import type { ZoneLoad } from "./zone_load.ts";

/**
 * @param loads - loads to be sent
 * @returns their short form, with rounded figures
 */
export function packZoneLoads(loads: readonly ZoneLoad[]): PackedZoneLoads {
  const zones = [...new Set(loads.map(({ zone }) => zone))];
  const packed: PackedZoneLoads = { zones, loads: {} };
  for (const { service, zone, inFlight, workPerS } of loads) {
    const index = zones.indexOf(zone);
    const requests = roundLoad(inFlight);
    const work = roundLoad(workPerS);
    (packed.loads[service] ??= []).push(
      work === 0 ? [index, requests] : [index, requests, work],
    );
  }
  return packed;
}
