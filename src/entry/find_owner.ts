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
 * Looks up who serves a key: the shard's region follows from the catalogue, the
 * upstream and its dispatcher from that region's assignment row.
 *
 * @param assignments - the newest known rows
 * @param key - service, its home regions and number of shards, and the digest
 * @returns the key's owner, or undefined while it has no usable one
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
  const held = assignments.get(region, key.service);
  // A row with another number of shards is from before a catalogue change.
  if (held?.row.shards.length !== key.shards) return undefined;
  const { row, revision } = held;
  const upstream = row.pins[key.digest] ??
    row.upstreams[row.shards[shard] ?? -1]?.id;
  if (upstream === undefined) return undefined;
  const term = row.tenures[upstream];
  if (term === undefined) return undefined;
  return { upstream, vm: term.vm, rowRevision: revision };
}
