import type { Tenant } from "../tenants/tenant.ts";

type Admission =
  | { kind: "admitted" }
  | {
    kind: "limited";
    /** When the tenant has room again, in milliseconds from now. */
    retryAfterMs: number;
  };

/** Enforces the rate limits of tenants, which hold for all VMs together. */
export type TenantLimiter = {
  /**
   * Takes one request from the tenant's share of this VM. Called once for each
   * request of a client; retries by the router are not counted.
   *
   * @param tenant - the tenant of the request
   * @returns whether the request may be served
   */
  admit(tenant: Tenant): Promise<Admission> | Admission;
};
