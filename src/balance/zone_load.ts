/** Load of one service in one failure domain, or a VM's part of it. */
export type ZoneLoad = {
  service: string;
  zone: string;
  inFlight: number;
  /**
   * Arrivals per second in the zone, extrapolated by some of their trend, each
   * counted with the slowdown of the zone's upstreams. A part may be negative
   * while its arrivals become fewer.
   */
  workPerS: number;
};
