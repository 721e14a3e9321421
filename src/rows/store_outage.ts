/** A time in which a VM got no answers from the store; monotonic milliseconds. */
export type StoreOutage = {
  /** When the store answered again, at the latest. */
  endedAt: number;
  /**
   * When the last call that failed was sent: until then, at least, this VM or
   * the store was disconnected. -Infinity if no call of this VM has failed.
   */
  failedAt: number;
};
