import type { CatalogueDocument } from "../catalogue/catalogue_document.ts";
import { shardRegion } from "../shards/shard_region.ts";
import type { RegionService } from "./region_service.ts";

/**
 * Collects the services that a region serves.
 *
 * @param document - the catalogue in force
 * @param region - the coordinator's region
 * @returns the services with home regions that include the region, by name
 */
export function regionServices(
  document: CatalogueDocument,
  region: string,
): Map<string, RegionService> {
  const found = new Map<string, RegionService>();
  for (const [name, service] of Object.entries(document.services)) {
    const entries = Object.values(document.entries)
      .filter((entry) => entry.service === name);
    // The catalogue check ensures that all entries of a service have the same
    // home regions and the same `checksGrants`.
    const first = entries[0];
    if (first?.homeRegions.includes(region) !== true) continue;
    const keyed = entries.some((entry) => entry.keySource.kind !== "none");
    const shards = keyed ? service.shards : 0;
    const own = Array.from({ length: shards }, (_, shard) => shard)
      .filter((shard) => shardRegion(shard, first.homeRegions) === region);
    found.set(name, {
      name,
      shards,
      own,
      homeRegions: first.homeRegions,
      checksGrants: first.checksGrants,
      maxRunMs: service.maxRunMs,
      coldStart: service.coldStart,
    });
  }
  return found;
}
