/** Times with which a table is followed, in milliseconds. */
export type FollowTimes = {
  /** Longest wait of a feed call at the store. */
  feedWaitMs: number;
  /** Longest time without a response beyond the wait at the store. */
  responseTimeoutMs: number;
  /** A relay answers no queries when what it knows is older. */
  relayMaxAgeMs: number;
  /**
   * A VM calls the store itself when what it knows from its relay gets older.
   */
  maxAgeMs: number;
};
