import { z } from "zod";

const MAX_NAME_LENGTH = 200;
/** Far above the ratios that operators use; the sum of weights stays exact. */
const MAX_WEIGHT = 1e9;

const Name = z.string().min(1).max(MAX_NAME_LENGTH);
const Part = z.object({
  service: Name,
  weight: z.number().nonnegative().max(MAX_WEIGHT),
});

/** How requests for one path prefix of one host are served. */
export const Route = z.object({
  name: Name,
  host: z.string(),
  /** Path prefix; starts and ends with a slash. */
  prefix: z.string().regex(/^\/(.*\/)?$/s),
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
  parts: z.array(Part).refine(
    (parts) => parts.some(({ weight }) => weight > 0),
    "no service has a positive weight",
  ),
  /** Regions whose upstreams may serve the request; empty means all. */
  homeRegions: z.array(z.string()),
  /** Whether its requests need no API key. */
  public: z.boolean().optional(),
});
export type Route = z.infer<typeof Route>;
