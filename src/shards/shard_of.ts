const HEX_DIGITS_USED = 8;

/**
 * @param digest - the key's digest, see `keyDigest`
 * @param shardCount - number of shards of the service
 * @returns the number of the key's shard, from 0 to `shardCount - 1`
 */
export function shardOf(digest: string, shardCount: number): number {
  return Number.parseInt(digest.slice(0, HEX_DIGITS_USED), 16) % shardCount;
}
