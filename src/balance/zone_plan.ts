import type { Upstream } from "../direct/upstream.ts";

/** What a VM knows about the zones of a service. */
export type ZonePlan = {
  /** By failure domain, including the VM's own. */
  zones: Map<string, {
    /** Slots of the usable upstreams. */
    slots: number;
    /** Requests in flight per slot; above 1, requests wait. */
    pressure: number;
    /**
     * Needed slots per slot if the zone served all its requests itself;
     * infinite if it is not known.
     */
    demand: number;
    /** Share of the requests of the VM's own zone that should go there. */
    share: number;
    otherRegion: boolean;
  }>;
  /**
   * @param upstreams - upstreams of one zone
   * @param count - how many the VM prefers
   * @returns those that the VM prefers
   */
  prefer: (
    upstreams: readonly Upstream[],
    count: number,
  ) => readonly Upstream[];
};
