import type { ServicePolicy } from "./service_policy.ts";

/** The rest is for VMs that have just joined, and for orders about keys. */
const USED_PART = 0.8;
const MIN_CONNECTIONS = 2;

/**
 * @param policy - policy of a service, which says what an upstream accepts from
 * all VMs together
 * @param vms - number of VMs
 * @returns connections that one VM may have to one upstream
 */
export function connectionLimit(
  policy: Pick<ServicePolicy, "maxConnections">,
  vms: number,
): number {
  return Math.max(
    MIN_CONNECTIONS,
    Math.floor(USED_PART * policy.maxConnections / vms),
  );
}
