import { z } from "zod";

/** Requests below one path prefix of one host, and how they are served. */
export const Route = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  prefix: z.string(),
  /** Whether a request may run more than once. */
  idempotent: z.boolean(),
  /** Longest time for which a caller is kept waiting. */
  timeoutMs: z.number().positive(),
  /** Latency objective: the time within which an answer has its full use. */
  objectiveMs: z.number().positive(),
  /** Most upstreams to which one request may be sent. */
  maxUpstreams: z.number().int().positive(),
  /** 0 is the most urgent. */
  priority: z.number(),
  /** Services and their shares of the route's requests. */
  parts: z.array(z.object({
    service: z.string(),
    weight: z.number().nonnegative(),
  })).min(1),
  /** Regions that may serve the request; empty means all. */
  homeRegions: z.array(z.string()),
});
export type Route = z.infer<typeof Route>;
