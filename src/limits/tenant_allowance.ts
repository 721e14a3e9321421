import type { Tenant } from "../tenants/tenant.ts";
import type { QuotaBound } from "./quota_bound.ts";

/**
 * Fraction of the overage and slack that tokens may use. The rest covers the
 * time between admission and the run of a request at an upstream, which can move
 * requests from an earlier window into a later one.
 */
const USED_FRACTION = 0.8;
const MS_PER_S = 1000;

/**
 * Returns the parameters of the token bucket that all VMs together represent for
 * a tenant: in any window of length w, they admit at most `capacity` plus
 * `ratePerS` times w requests.
 *
 * @param tenant - a tenant with a limit
 * @param bound - what the deployment allows in addition to the limit
 * @returns tokens per second, and the most tokens that may exist at any time
 */
export function tenantAllowance(
  { ratePerS, burst }: Pick<Tenant, "ratePerS" | "burst">,
  { windowMs, overage, slack }: QuotaBound,
): { ratePerS: number; capacity: number } {
  const limit = ratePerS * windowMs / MS_PER_S + burst;
  return {
    ratePerS,
    capacity: burst + USED_FRACTION * (overage * limit + slack),
  };
}
