import { z } from "zod";

/** A service of the catalogue: its shards and the limits of its upstreams. */
export const Service = z.strictObject({
  /** Number of hash ranges of the key space; a new number moves keys. */
  shards: z.int().min(1).max(4096).default(512),
  /** Requests that one upstream runs concurrently. */
  slots: z.int().positive(),
  /** Connections that one upstream accepts. */
  connections: z.int().positive(),
  /** Requests that may be queued for one upstream. */
  queue: z.int().nonnegative().default(64),
  /** Longest run time of one request at an upstream, in milliseconds. */
  maxRunMs: z.int().positive().default(2000),
  coldStart: z.strictObject({
    /** Concurrent requests that a cold upstream can handle. */
    concurrency: z.int().positive().default(1),
    /** Requests per second that a cold upstream can handle. */
    ratePerS: z.number().positive().default(10),
    /**
     * Milliseconds between doublings of both limits once the upstream reports
     * that it is warm.
     */
    rampMs: z.int().positive().default(1000),
  }).prefault({}),
});
export type Service = z.infer<typeof Service>;
