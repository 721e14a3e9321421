/** A caller's request that has been read whole. */
export type CallerCall = {
  /** Chosen by the caller. */
  requestId: string;
  method: string;
  /** Path and query, as received. */
  target: string;
  host: string | undefined;
  /** Headers to pass on, by lower-case name. */
  headers: Record<string, string | string[]>;
  body: Uint8Array | undefined;
  /** Monotonic milliseconds. */
  receivedAt: number;
  /** How long the caller waits from `receivedAt` on; undefined if untold. */
  deadlineMs: number | undefined;
  /** Number of the key, for services that are divided by key. */
  key: number | undefined;
};
