import type { ResultAsync } from "neverthrow";
import { z } from "zod";
import type { TableError } from "../contracts/table_error.ts";
import type { TableService } from "../contracts/table_service.ts";
import { CatalogueStatus } from "../vms/catalogue_status.ts";
import { MemberRow } from "../vms/member_row.ts";
import type { PeerClient } from "../vms/peer_client.ts";
import type { AcceptanceMember } from "./acceptance_member.ts";
import type { CatalogueMembers } from "./catalogue_members.ts";

const MEMBERS_PREFIX = "members/";
// Allows several round trips between regions. A router that pauses for longer
// is asked again.
const CALL_TIMEOUT_MS = 500;

/**
 * The fields used here. Rows of newer schemas can be read as long as these
 * fields keep their meaning.
 */
const ReadableMember = MemberRow.pick({
  vm: true,
  incarnation: true,
  peerUrl: true,
  witnesses: true,
  witnessIncarnations: true,
});

/** Reads members from the table service and calls their peer listeners. */
export class PeerCatalogueMembers implements CatalogueMembers {
  readonly #table: TableService;
  readonly #peers: PeerClient;

  /**
   * @param deps - `table` holds the member rows, `peers` calls the members
   */
  constructor(deps: { table: TableService; peers: PeerClient }) {
    this.#table = deps.table;
    this.#peers = deps.peers;
  }

  list(signal: AbortSignal): ResultAsync<AcceptanceMember[], TableError> {
    return this.#table.readRows({ prefix: MEMBERS_PREFIX, since: 0 }, signal)
      .map(({ rows }) =>
        rows.filter((row) => row.value !== null).map((row) => {
          const vm = row.key.slice(MEMBERS_PREFIX.length);
          const read = ReadableMember.safeParse(row.value);
          return { vm, reachable: read.success ? read.data : undefined };
        })
      );
  }

  async notify(
    peerUrl: string,
    version: number,
    signal: AbortSignal,
  ): Promise<void> {
    await this.#peers.call({
      peerUrl,
      method: "catalogue.changed",
      params: { version },
      result: z.unknown(),
      timeoutMs: CALL_TIMEOUT_MS,
    }, signal);
  }

  async status(
    peerUrl: string,
    version: number,
    signal: AbortSignal,
  ): Promise<CatalogueStatus | undefined> {
    const answer = await this.#peers.call({
      peerUrl,
      method: "catalogue.status",
      params: { version },
      result: CatalogueStatus,
      timeoutMs: CALL_TIMEOUT_MS,
    }, signal);
    return answer.unwrapOr(undefined);
  }
}
