import type { Service } from "../catalogue/service.ts";

/** Settings of one service that its region's coordinator uses. */
export type RegionService = {
  name: string;
  /** Size of the key space; 0 for services without keys. */
  shards: number;
  /**
   * Shards whose home is this region; empty if the region no longer serves the
   * service.
   */
  own: readonly number[];
  homeRegions: readonly string[];
  /** Whether the service's upstreams check grants. */
  checksGrants: boolean;
  /** Longest run of a request, in milliseconds. */
  maxRunMs: number;
  coldStart: Service["coldStart"];
};
