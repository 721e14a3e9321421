type Order = {
  /** `IP:PORT` of the upstream. */
  address: string;
  id: string;
  first: number;
  last: number;
  fence: number;
};

/** Orders about keys, to upstreams that check fencing tokens. */
export interface RangeGrants {
  /**
   * Grants keys or renews a grant. The lease runs from the arrival.
   *
   * @param order - the keys, the lease in milliseconds, and the token of the
   * state that the last owner handed over
   * @param signal - gives up waiting
   * @returns `stale` if the upstream has seen a higher fencing token;
   * `not_sent` if no byte left this VM; after `unanswered` the grant may take
   * effect seconds later
   */
  grant(
    order: Order & { holdMs: number; handover: string | undefined },
    signal: AbortSignal,
  ): Promise<"granted" | "stale" | "refused" | "not_sent" | "unanswered">;

  /**
   * Takes keys back. Resolves when the work on them has ended.
   *
   * @param order - the keys, with a fencing token above that of the grant
   * @param signal - gives up waiting
   * @returns the token of the state that is handed over, if there is one
   */
  release(
    order: Order,
    signal: AbortSignal,
  ): Promise<
    | { kind: "released"; handover: string | undefined }
    | { kind: "refused" | "not_sent" | "unanswered" }
  >;
}
