import type { ClientLimits } from "../limits/client_limits.ts";
import type { QuotaBound } from "../limits/quota_bound.ts";

/** Settings of a VM that sends requests directly to upstreams. */
export type DirectSettings = {
  vm: string;
  region: string;
  failureDomain: string;
  /** Region of each failure domain. */
  regionOf: ReadonlyMap<string, string>;
  /** Addresses are `IP:PORT`. */
  listen: {
    callers: string;
    readiness: string;
    peers: string;
    metrics: string | undefined;
  };
  /** Time from the stop signal to the end of the process, in milliseconds. */
  stopMs: number;
  /**
   * Limit on retries in any window of `windowMs`, for all VMs together: `ratio`
   * times the requests, plus `slack`.
   */
  retries: { ratio: number; windowMs: number; slack: number };
  /** Limit on the requests of each tenant, for all VMs together. */
  quota: QuotaBound;
  /**
   * Time in which changes of the configuration and of upstreams must be in force,
   * in milliseconds.
   */
  changeBoundMs: number;
  /**
   * Time after a disconnection of this VM after which that holds for it again, in
   * milliseconds.
   */
  contactMs: number;
  /** Longest lease on keys that an upstream accepts, in milliseconds. */
  maxHoldMs: number;
  /** Memory for the bodies of all requests, in bytes. */
  bodyMemoryBytes: number;
  /** What clients may hold. */
  clients: ClientLimits;
  /** Processor cores of the VM; undefined if it is not known. */
  cores: number | undefined;
};
