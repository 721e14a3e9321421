import { z } from "zod";

/** How requests for one path prefix of one host are served. */
export const Route = z.object({
  name: z.string(),
  host: z.string(),
  /** Path prefix; starts and ends with a slash. */
  prefix: z.string(),
  /** Whether a request may run more than once. */
  idempotent: z.boolean(),
  /** Longest time until a request is answered or refused. */
  timeoutMs: z.number().positive(),
  /** Latency objective: the time within which requests should be answered. */
  objectiveMs: z.number().positive(),
  /** Maximum number of upstreams to which one request may be sent. */
  maxUpstreams: z.number().int().positive(),
  /** Priority; 0 is the most urgent. */
  priority: z.number(),
  /**
   * Services among which the route's requests are split, with their weights.
   */
  parts: z.array(z.object({
    service: z.string(),
    weight: z.number().nonnegative(),
  })).min(1),
  /** Regions whose upstreams may serve the request; empty means all. */
  homeRegions: z.array(z.string()),
});
export type Route = z.infer<typeof Route>;
