/**
 * Upper bound on a tenant's requests over all VMs: in any window of `windowMs`,
 * its rate times the window plus its burst, times 1 + `overage`, plus `slack`.
 */
export type QuotaBound = {
  /** Milliseconds. */
  windowMs: number;
  /** Fraction, e.g. 0.1. */
  overage: number;
  /** Requests. */
  slack: number;
};
