/**
 * Returns the region of a shard. It depends on the catalogue alone, so that no
 * key changes its region unless an operator changes the catalogue.
 *
 * @param shard - the shard's number
 * @param homeRegions - the service's home regions in catalogue order
 * @returns the region whose upstreams own the shard
 */
export function shardRegion(
  shard: number,
  homeRegions: readonly string[],
): string {
  const region = homeRegions[shard % homeRegions.length];
  if (region === undefined) throw new Error("a service has no home region");
  return region;
}
