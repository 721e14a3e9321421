import type { CatalogueDocument } from "../catalogue/catalogue_document.ts";
import type { Share } from "./share.ts";

/**
 * Splits the limits of every entry equally over its home regions. Slots that
 * cannot be divided go to the first regions in catalogue order.
 *
 * @param document - the catalogue in force
 * @param region - name of a region
 * @returns the region's limits by entry, for entries whose home regions include
 * it
 */
export function regionLimits(
  document: CatalogueDocument,
  region: string,
): Map<string, Share> {
  const limitsByEntry = new Map<string, Share>();
  for (
    const [name, { homeRegions, limits }] of Object.entries(
      document.entries,
    )
  ) {
    const index = homeRegions.indexOf(region);
    if (index === -1) continue;
    const count = homeRegions.length;
    limitsByEntry.set(name, {
      ratePerS: limits.ratePerS / count,
      concurrency: Math.floor(limits.concurrency / count) +
        (index < limits.concurrency % count ? 1 : 0),
    });
  }
  return limitsByEntry;
}
