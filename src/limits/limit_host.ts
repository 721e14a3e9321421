import type { RenewGrant } from "../regions/renew_grant.ts";
import type { RenewParams } from "../regions/renew_params.ts";

/**
 * Reports demand to the task that renews the dispatch lease, and receives shares
 * of limits from it.
 */
export interface LimitHost {
  /**
   * @returns demand and held share of each entry with recent requests
   */
  collect(): RenewParams["limits"];

  /**
   * @param shares - new shares; entries that are not named have none
   * @param leaseEndsAt - when the shares expire, on this router's clock
   */
  apply(shares: RenewGrant["shares"], leaseEndsAt: number): void;
}
