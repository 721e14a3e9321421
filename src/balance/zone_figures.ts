/** Load of one service in one failure domain, over all VMs. */
export type ZoneFigures = {
  /** Arrivals per second, mean of about a second. */
  arrivalsPerS: number;
  /** Arrivals per second, mean of about a quarter of a second. */
  recentPerS: number;
  inFlight: number;
  /** Sum of the slowdowns of their upstreams over the requests in flight. */
  slowed: number;
  /** When they were requested, in monotonic milliseconds. */
  at: number;
};
