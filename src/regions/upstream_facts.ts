/** What the region's coordinator knows of one upstream of a service. */
export type UpstreamFacts = {
  id: string;
  address: string;
  failureDomain: string;
  /**
   * Leaving, draining, out of service or no longer listed: must own nothing.
   */
  out: boolean;
  /**
   * State that its dispatcher reports. Without a report `lost` if all routers
   * of its failure domain have stopped reporting, otherwise undefined.
   */
  state: "cold" | "warm" | "draining" | "lost" | undefined;
  /**
   * Moving median of the service time in milliseconds; 0 without recent
   * requests.
   */
  serviceMs: number;
  /** Requests started per second. */
  ratePerS: number;
};
