import type { Service } from "../catalogue/service.ts";

/** What a region's coordinator needs to know of one service. */
export type RegionService = {
  name: string;
  /** Size of the key space; 0 for services without keys. */
  shards: number;
  /** Shards whose home is this region; empty when the service has left it. */
  own: readonly number[];
  homeRegions: readonly string[];
  checksGrants: boolean;
  maxRunMs: number;
  coldStart: Service["coldStart"];
};
