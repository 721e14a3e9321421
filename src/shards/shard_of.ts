const DIGITS_USED = 8;

/**
 * @param digest - the key's digest, see `keyDigest`
 * @param shardCount - number of shards of the service
 * @returns the shard that holds the key, from 0 to `shardCount - 1`
 */
export function shardOf(digest: string, shardCount: number): number {
  return Number.parseInt(digest.slice(0, DIGITS_USED), 16) % shardCount;
}
