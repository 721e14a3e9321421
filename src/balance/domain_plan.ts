import type { Upstream } from "../direct/upstream.ts";

/** What a VM knows about the domains of a service. */
export type DomainPlan = {
  /** By failure domain, including the VM's own. */
  domains: Map<string, {
    /** Slots of the usable upstreams. */
    slots: number;
    /** Requests in flight per slot; above 1, requests wait. */
    pressure: number;
    /**
     * Needed slots per slot if the domain served all its requests itself;
     * infinite if it is not known.
     */
    demand: number;
    /** Share of the requests of the VM's own domain that should go there. */
    share: number;
    otherRegion: boolean;
  }>;
  /**
   * @param upstreams - upstreams of one domain
   * @param count - how many the VM prefers
   * @returns those that the VM prefers
   */
  prefer: (
    upstreams: readonly Upstream[],
    count: number,
  ) => readonly Upstream[];
};
