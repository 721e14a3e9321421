import { connectionLimit } from "./connection_limit.ts";
import type { ServicePolicy } from "./service_policy.ts";

/**
 * @param policy - policy of a service, with the number of connections that an
 * upstream accepts from all VMs together
 * @param vms - number of VMs
 * @returns whether the VMs together may have more connections to an upstream
 * than it accepts
 */
export function areConnectionsScarce(
  policy: Pick<ServicePolicy, "maxConnections">,
  vms: number,
): boolean {
  return connectionLimit(policy, vms) * vms > policy.maxConnections;
}
