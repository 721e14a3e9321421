type Order = {
  /** `IP:PORT` of the upstream. */
  address: string;
  id: string;
  /** First and last key of the range. */
  first: number;
  last: number;
  /** Fencing token of the order. */
  fence: number;
};

/** Sends grants and releases of keys; upstreams check the fencing tokens. */
export interface RangeGrants {
  /**
   * Grants keys or renews a grant. The lease starts when the order arrives at
   * the upstream.
   *
   * @param order - the keys, the lease duration in milliseconds, the handover
   * token returned by the release from the previous owner, `maySend`, which is
   * asked again once the connection is established, whether to send only
   * on a connection on which the upstream has accepted a grant before, so that
   * it is the same process and knows the tokens that it has received since, and
   * a callback for an answer that says that the upstream is leaving
   * @param signal - stops waiting for the response
   * @returns `stale` if the upstream has seen a higher fencing token;
   * `not_sent` if no byte left this VM; after `unanswered` the grant may take
   * effect seconds later
   */
  grant(
    order: Order & {
      holdMs: number;
      handover: string | undefined;
      maySend: () => boolean;
      sameProcess: boolean;
      onLeaving: () => void;
    },
    signal: AbortSignal,
  ): Promise<"granted" | "stale" | "refused" | "not_sent" | "unanswered">;

  /**
   * Releases keys. Resolves when the upstream's work on them has ended.
   *
   * @param order - the keys, with a fencing token above that of the grant
   * @param signal - stops waiting for the response
   * @returns the handover token of the keys' state, if the upstream sent one
   */
  release(
    order: Order,
    signal: AbortSignal,
  ): Promise<
    | { kind: "released"; handover: string | undefined }
    | { kind: "refused" | "not_sent" | "unanswered" }
  >;
}
