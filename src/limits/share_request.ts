import { z } from "zod";

/** Request of a token holder to the leader for shares of tenants' limits. */
export const ShareRequest = {
  method: "tenants.shares",
  params: z.object({
    /** Incarnation of the holder. */
    holder: z.string(),
    /** Increases with each request of the holder. */
    seq: z.number().int().positive(),
    /** `seq` of the last request whose response was applied; 0 for none. */
    answeredSeq: z.number().int().nonnegative(),
    /** Term of the leader that sent this response; empty for none. */
    term: z.string(),
    /**
     * Tenants with demand or tokens: id, requests per second relative to the
     * limit, and the share that the holder may be using. With a term that is not
     * the leader's, all tenants of which the holder has a share.
     */
    entries: z.array(z.tuple([
      z.string(),
      z.number().nonnegative(),
      z.number().nonnegative(),
    ])),
  }),
  result: z.object({
    /** Whether the called VM is the leader. */
    leader: z.boolean(),
    term: z.string(),
    /** Lifetime of the shares, counted from the sending of the request. */
    ttlMs: z.number().nonnegative(),
    /** Id and share (0 to 1) of each tenant of which the holder has one. */
    shares: z.array(z.tuple([z.string(), z.number().min(0).max(1)])),
  }),
};
