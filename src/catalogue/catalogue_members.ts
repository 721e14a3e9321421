import type { ResultAsync } from "neverthrow";
import type { TableError } from "../contracts/table_error.ts";
import type { CatalogueStatus } from "../vms/catalogue_status.ts";
import type { AcceptanceMember } from "./acceptance_member.ts";

/** The routers that have to put a catalogue version in force. */
export interface CatalogueMembers {
  /**
   * @param signal - cancels the call
   * @returns every router that is registered at the time of the call; results
   * of earlier polls are not used
   */
  list(signal: AbortSignal): ResultAsync<AcceptanceMember[], TableError>;

  /**
   * Notifies a router that a version was committed, so that it does not wait
   * for its next poll. Failures are ignored: the router polls anyway.
   *
   * @param peerUrl - base URL of the router's peer listener
   * @param version - the committed version
   * @param signal - cancels the call
   */
  notify(peerUrl: string, version: number, signal: AbortSignal): Promise<void>;

  /**
   * @param peerUrl - base URL of the router's peer listener
   * @param version - the version that is waited for
   * @param signal - cancels the call
   * @returns the router's version and mode, or undefined if the call failed
   */
  status(
    peerUrl: string,
    version: number,
    signal: AbortSignal,
  ): Promise<CatalogueStatus | undefined>;
}
