import { z } from "zod";

/** How the upstreams of one service are used. */
export const Service = z.strictObject({
  /** Hash ranges of the key space; changing it moves keys. */
  shards: z.int().min(1).max(4096).default(512),
  /** Requests that one upstream runs at a time. */
  slots: z.int().positive(),
  /** Connections that one upstream accepts. */
  connections: z.int().positive(),
  /** Requests that may wait for one upstream. */
  queue: z.int().nonnegative().default(64),
  /** Longest run of one request at an upstream, in milliseconds. */
  maxRunMs: z.int().positive().default(2000),
  coldStart: z.strictObject({
    /** Requests at a time that a cold upstream bears. */
    concurrency: z.int().positive().default(1),
    /** Requests a second that a cold upstream bears. */
    ratePerS: z.number().positive().default(10),
    /** Time between doublings of the rate once the upstream says warm. */
    rampMs: z.int().positive().default(1000),
  }).prefault({}),
});
export type Service = z.infer<typeof Service>;
