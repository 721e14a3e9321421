import type { ResultAsync } from "neverthrow";
import type { TableError } from "../contracts/table_error.ts";
import type { CatalogueStatus } from "../vms/catalogue_status.ts";
import type { AcceptanceMember } from "./acceptance_member.ts";

/** The routers that have to put a catalogue version in force. */
export interface CatalogueMembers {
  /**
   * @param signal - gives up waiting
   * @returns every router that is registered at the time of the call, not as
   * of an earlier poll
   */
  list(signal: AbortSignal): ResultAsync<AcceptanceMember[], TableError>;

  /**
   * Tells a router that a version was committed, so that it need not wait for
   * its next poll. Failures are not reported: the poll follows anyway.
   *
   * @param peerUrl - base URL of the router's peer listener
   * @param version - the committed version
   * @param signal - gives up waiting
   */
  notify(peerUrl: string, version: number, signal: AbortSignal): Promise<void>;

  /**
   * @param peerUrl - base URL of the router's peer listener
   * @param version - the version that is waited for
   * @param signal - gives up waiting
   * @returns the router's version and mode, or undefined without an answer
   */
  status(
    peerUrl: string,
    version: number,
    signal: AbortSignal,
  ): Promise<CatalogueStatus | undefined>;
}
