/** Load of one service in one failure domain, or a VM's part of it. */
export type ZoneLoad = {
  service: string;
  zone: string;
  inFlight: number;
  /** Sum of the slowdowns of their upstreams over the requests in flight. */
  slowed: number;
  /**
   * Expected arrivals per second in the zone, half a second after they were
   * measured. A part may be negative while its arrivals become fewer.
   */
  arrivalsPerS: number;
};
