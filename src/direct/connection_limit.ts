import type { ServicePolicy } from "./service_policy.ts";

/**
 * Fraction of an upstream's connections that requests use. The others are
 * reserved for VMs that have just joined and for grants and releases of keys.
 */
const USED_CONNECTIONS_FRACTION = 0.8;
const MIN_CONNECTIONS_PER_UPSTREAM = 2;

/**
 * @param policy - policy of a service, with the number of connections that an
 * upstream accepts from all VMs together
 * @param vms - number of VMs
 * @returns maximum number of connections from one VM to one upstream
 */
export function connectionLimit(
  policy: Pick<ServicePolicy, "maxConnections">,
  vms: number,
): number {
  return Math.max(
    MIN_CONNECTIONS_PER_UPSTREAM,
    Math.floor(USED_CONNECTIONS_FRACTION * policy.maxConnections / vms),
  );
}
