import type { RenewGrant } from "../regions/renew_grant.ts";
import type { RenewReport } from "../regions/renew_report.ts";

/**
 * What the renewal task of a router needs from the dispatchers on it. The
 * renewal task calls `collect`, sends the report, and calls `apply` with the
 * answer.
 */
export interface DispatchHost {
  /**
   * @returns the report for the next renewal
   */
  collect(): RenewReport;

  /**
   * Starts, keeps and ends dispatch terms as the coordinator said.
   *
   * @param grant - the coordinator's answer
   * @param leaseEndsAt - end of the dispatch lease on this router's clock;
   * every dispatcher stops sending at that time unless it is renewed
   */
  apply(grant: RenewGrant, leaseEndsAt: number): void;

  /**
   * @returns a promise that resolves when the report has changed in a way that
   * the coordinator should hear at once (a unit released, an upstream lost)
   */
  reportChanged(): Promise<void>;
}
