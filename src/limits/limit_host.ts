import type { RenewGrant } from "../regions/renew_grant.ts";
import type { RenewParams } from "../regions/renew_params.ts";

/** What the renewal task needs from the holder of limit shares. */
export interface LimitHost {
  /**
   * @returns demand and held share of each entry that had requests lately
   */
  collect(): RenewParams["limits"];

  /**
   * @param shares - shares from now on; entries not named have none
   * @param leaseEndsAt - end of the shares on this router's clock
   */
  apply(shares: RenewGrant["shares"], leaseEndsAt: number): void;
}
