import { z } from "zod";
import type { Logger } from "../base/logger.ts";
import type { CatalogueView } from "../catalogue/catalogue_view.ts";
import type { TableRow } from "../contracts/table_row.ts";
import type { RpcHandler } from "../links/rpc_handler.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";
import type { MemberRow } from "./member_row.ts";
import type { PeerClient } from "./peer_client.ts";
import { RowsResult } from "./rows_result.ts";
import type { StorePoller } from "./store_poller.ts";

type Options = {
  catalogue: CatalogueView;
  assignments: AssignmentView;
  poller: Pick<StorePoller, "adopt" | "revisionOf">;
  peers: PeerClient;
  logger: Logger;
};

const CATALOGUE_KEY = "catalogue/current";
const MAX_KEYS_PER_REQUEST = 64;
const ROWS_CALL_TIMEOUT_MS = 1000;

const RowsParams = z.looseObject({
  keys: z.array(z.string()).max(MAX_KEYS_PER_REQUEST),
});

/**
 * Exchanges rows of the table service between routers and their witnesses while
 * the table service cannot be reached.
 */
export class WitnessRows {
  /** Answers `rows.get` calls of other routers. */
  readonly handler: RpcHandler;
  readonly #opts: Options;
  readonly #fetchesInFlight = new Map<string, Promise<void>>();

  /**
   * @param opts - views and poller with the rows that this router knows, and
   * `peers` to call witnesses
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.handler = {
      method: "rows.get",
      params: RowsParams,
      handle: (params) =>
        Promise.resolve(this.#knownRows(RowsParams.parse(params).keys)),
    };
  }

  /**
   * @returns revision of each assignment row that this router knows, by row key
   */
  revisions(): Record<string, number> {
    return Object.fromEntries(
      this.#opts.assignments.all().map(({ revision, row }) => [
        `assignments/${row.region}/${row.service}`,
        revision,
      ]),
    );
  }

  /**
   * Starts to read the rows of a witness that are newer than this router's.
   * Does nothing while an earlier read from the same witness is in flight.
   *
   * @param witness - the witness to read from
   * @param known - catalogue version and row revisions that the witness has
   * @param signal - aborts the calls
   */
  fetchNewer(
    witness: Pick<MemberRow, "vm" | "peerUrl">,
    known: { catalogueVersion: number; revisions: Record<string, number> },
    signal: AbortSignal,
  ): void {
    const keys = Object.entries(known.revisions)
      .filter(([key, revision]) => revision > this.#assignmentRevision(key))
      .map(([key]) => key);
    if (known.catalogueVersion > this.#opts.catalogue.version) {
      keys.unshift(CATALOGUE_KEY);
    }
    if (keys.length === 0 || this.#fetchesInFlight.has(witness.vm)) return;
    const fetch = this.#fetchRows(witness, keys, signal)
      .finally(() => this.#fetchesInFlight.delete(witness.vm));
    this.#fetchesInFlight.set(witness.vm, fetch);
  }

  /**
   * @returns a promise that resolves when all reads in flight have ended
   */
  async readsEnded(): Promise<void> {
    await Promise.all(this.#fetchesInFlight.values());
  }

  async #fetchRows(
    witness: Pick<MemberRow, "vm" | "peerUrl">,
    keys: readonly string[],
    signal: AbortSignal,
  ): Promise<void> {
    const { peers, logger, poller } = this.#opts;
    // One row per call, because an answer is limited to 1 MiB.
    for (const key of keys) {
      const result = await peers.call({
        peerUrl: witness.peerUrl,
        method: "rows.get",
        params: { keys: [key] },
        result: RowsResult,
        timeoutMs: ROWS_CALL_TIMEOUT_MS,
      }, signal);
      if (result.isErr()) {
        logger.warn(
          { witness: witness.vm, row: key, error: result.error },
          "cannot read a newer row from a witness",
        );
        return;
      }
      for (const row of result.value.rows) {
        if (row.key === key) poller.adopt(row);
      }
    }
  }

  #assignmentRevision(key: string): number {
    return this.#assignment(key)?.revision ?? 0;
  }

  #assignment(key: string): ReturnType<AssignmentView["get"]> {
    const [, region, service] = key.split("/");
    return this.#opts.assignments.get(region ?? "", service ?? "");
  }

  #knownRows(keys: readonly string[]): RowsResult {
    const rows: TableRow[] = [];
    for (const key of keys) {
      if (key === CATALOGUE_KEY) {
        const value = this.#opts.catalogue.current;
        const revision = this.#opts.poller.revisionOf(key);
        if (value !== undefined && revision > 0) {
          rows.push({ key, revision, value });
        }
      } else if (key.startsWith("assignments/")) {
        const known = this.#assignment(key);
        if (known !== undefined) {
          rows.push({ key, revision: known.revision, value: known.row });
        }
      }
    }
    return { rows };
  }
}
