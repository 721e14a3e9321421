import type { AssignmentView } from "../shards/assignment_view.ts";
import { shardOf } from "../shards/shard_of.ts";
import { shardRegion } from "../shards/shard_region.ts";

type Owner = {
  upstream: string;
  /** VM of the dispatcher. */
  vm: string;
  rowRevision: number;
};

/**
 * Looks up the owner of a key. The catalogue determines the region of the key's
 * shard; that region's assignment row names the upstream and its dispatcher.
 *
 * @param assignments - the newest known assignment rows
 * @param key - service, its home regions and number of shards, and the digest
 * of the key
 * @returns the owner, or undefined while the key has none with a dispatcher
 */
export function findOwner(
  assignments: AssignmentView,
  key: {
    service: string;
    homeRegions: readonly string[];
    shards: number;
    digest: string;
  },
): Owner | undefined {
  const shard = shardOf(key.digest, key.shards);
  const region = shardRegion(shard, key.homeRegions);
  const assignment = assignments.get(region, key.service);
  // A row with another number of shards predates a change of the catalogue.
  if (assignment?.row.shards.length !== key.shards) return undefined;
  const { row, revision } = assignment;
  const upstream = row.pins[key.digest] ??
    row.upstreams[row.shards[shard] ?? -1]?.id;
  if (upstream === undefined) return undefined;
  const term = row.tenures[upstream];
  if (term === undefined) return undefined;
  return { upstream, vm: term.vm, rowRevision: revision };
}
