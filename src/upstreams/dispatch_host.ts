import type { RenewGrant } from "../regions/renew_grant.ts";
import type { RenewReport } from "../regions/renew_report.ts";

/**
 * The dispatchers of a router, as the task that renews the dispatch lease uses
 * them: it calls `collectReport`, sends the report to the coordinator, and
 * calls `applyGrant` with the answer.
 */
export interface DispatchHost {
  /**
   * @returns the report for the next renewal
   */
  collectReport(): RenewReport;

  /**
   * Starts, keeps and ends dispatch terms as the coordinator's answer requires.
   *
   * @param grant - the coordinator's answer
   * @param leaseEndsAt - end of the dispatch lease on this router's clock;
   * every dispatcher stops sending at that time unless it is renewed
   */
  applyGrant(grant: RenewGrant, leaseEndsAt: number): void;

  /**
   * @returns a promise that resolves when the report has changed in a way that
   * must be sent to the coordinator at once (a unit released, an upstream lost)
   */
  reportChanged(): Promise<void>;
}
