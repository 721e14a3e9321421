import type { Upstream } from "./upstream.ts";

/** What a request costs at an upstream, in milliseconds. */
export type RatedUpstream = {
  upstream: Upstream;
  /** Expected time in the upstream's queue. */
  waitMs: number;
  /** Expected run time. */
  runMs: number;
  /** Time until the expected answer. */
  expectedMs: number;
  /** The same with penalties for distance and recent failures. */
  costMs: number;
};
