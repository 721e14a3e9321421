/** Load of one service in one failure domain, or a VM's part of it. */
export type DomainLoad = {
  service: string;
  domain: string;
  inFlight: number;
  /**
   * Arrivals per second in the domain, extrapolated by some of their trend, each
   * counted with the slowdown of the domain's upstreams. A part may be negative
   * while its arrivals become fewer.
   */
  workPerS: number;
};
