import { z } from "zod";

const count = z.number().int().nonnegative();

/** Request of a VM to a token holder for tokens of tenants. */
export const TokenRequest = {
  method: "tenants.tokens",
  params: z.object({
    /** Incarnation of the requesting process. */
    vm: z.string(),
    /** Increases with each request of the process to any holder. */
    seq: z.number().int().positive(),
    /** Incarnation of the holder whose tokens the VM has; absent if none. */
    holder: z.string().optional(),
    /** `seq` of the last request whose response was applied; 0 for none. */
    applied: count,
    /** Whether tenants that are not in `entries` have no tokens of the holder. */
    full: z.boolean(),
    /**
     * Tenants whose numbers have changed: id, unspent tokens of the holder,
     * tokens for waiting requests, tokens for later requests, requests refused
     * since the last request, and tokens that are returned.
     */
    entries: z.array(z.tuple([z.string(), count, count, count, count, count])),
  }),
  result: z.object({
    /** Incarnation of the holder. */
    holder: z.string(),
    /**
     * Lifetime in milliseconds, counted from the sending of the request, of the
     * granted tokens and of those reported as unspent. 0 if the holder has no
     * lease or the request is not the newest; nothing changes then.
     */
    lifeMs: z.number().nonnegative(),
    /** Whether the VM must discard the tokens that it had of the holder. */
    fresh: z.boolean(),
    /**
     * Tenants with new tokens, or with fewer than waiting requests: id, granted
     * tokens, milliseconds until the holder has another one (0 if it granted all
     * that were needed), and its share of the limit.
     */
    grants: z.array(z.tuple([
      z.string(),
      count,
      z.number().nonnegative(),
      z.number().min(0).max(1),
    ])),
  }),
};
