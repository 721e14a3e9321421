/** One upstream of a service as its region's coordinator sees it. */
export type UpstreamFacts = {
  id: string;
  address: string;
  failureDomain: string;
  /** Leaving, draining, taken out or no longer listed: must own nothing. */
  out: boolean;
  /** As its dispatcher reports; undefined while none does. */
  state: "cold" | "warm" | "draining" | "lost" | undefined;
  /** Moving median of the service time; 0 if not measured lately. */
  serviceMs: number;
  /** Requests a second. */
  ratePerS: number;
};
