import { z } from "zod";

/** A client account of the configuration, whose requests carry its API keys. */
export const Tenant = z.object({
  name: z.string().min(1).max(200),
  /** SHA-256 digests of its API keys, in hexadecimal. */
  keyDigests: z.array(z.string()),
  /** Requests per second over all VMs; 0 means that there is no limit. */
  ratePerS: z.number().nonnegative(),
  /** Requests that it may send at once in addition to its rate. */
  burst: z.number().nonnegative(),
  /** Replaces the priority of the route; undefined keeps it. */
  priority: z.number().optional(),
  /** Regions whose upstreams may serve its requests; empty means all. */
  homeRegions: z.array(z.string()),
});
export type Tenant = z.infer<typeof Tenant>;
