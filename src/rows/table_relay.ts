import type { z } from "zod";
import { ChangeNotifier } from "../base/change_notifier.ts";
import type { DomainLoadExchange } from "../balance/domain_load_exchange.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { RpcHandler } from "../links/rpc_handler.ts";
import type { PeerClient } from "../vms/peer_client.ts";
import { waitForChange } from "../vms/wait_for_change.ts";
import { ChangesQuery } from "./changes_query.ts";
import type { TableFollower } from "./table_follower.ts";
import type { TableChanges } from "./table_changes.ts";

type Options = {
  followers: readonly TableFollower[];
  /** Time in which changes must be in force, in milliseconds. */
  boundMs: number;
  /** Peer URL of this VM. */
  selfUrl: string;
  peers: PeerClient;
  /** Loads that are exchanged with the queries. */
  loads?: DomainLoadExchange;
  clock: Clock;
  logger: Logger;
  signal: AbortSignal;
};
type Query = z.infer<typeof ChangesQuery.params>;

/**
 * VMs read larger changes from the store. Its link is faster than that of a
 * relay, which would have to send them to all VMs of its region. The owners of
 * 1,000 ranges take 30 KB.
 */
const MAX_RELAYED_BYTES = 32_768;
const MAX_QUERY_INTERVAL_MS = 500;
const QUERY_INTERVAL_FRACTION = 0.2;
const QUERY_TIMEOUT_MS = 700;
/** Limits early queries by VMs that need changes at once. */
const MAX_QUERIES_PER_INTERVAL = 5;

/**
 * Receives changes of the store from the relay of the region, which is one of
 * the region's VMs, so that calls to the store do not grow with the product of
 * changes and VMs. On the relay itself, answers the queries of the other VMs.
 */
export class TableRelay {
  /** Handles queries of the other VMs of the region. */
  readonly handler: RpcHandler;
  readonly #opts: Options;
  /** Fires when changes are needed at once or the relay has changed. */
  readonly #queryNeeded = new ChangeNotifier();
  #relayUrl: string | undefined;

  /**
   * @param opts - the tables that this VM follows, and access to other VMs
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.handler = {
      method: ChangesQuery.method,
      params: ChangesQuery.params,
      handle: (params) => {
        const query = ChangesQuery.params.parse(params);
        return Promise.resolve({
          changes: this.#changesSince(query),
          loads: opts.loads?.onQuery(query.loads),
        });
      },
    };
  }

  /**
   * @returns peer URL of the relay of the region; undefined if it is unknown
   */
  get relayUrl(): string | undefined {
    return this.#relayUrl;
  }

  /**
   * @returns whether this VM is the relay of its region
   */
  get isRelay(): boolean {
    return this.#relayUrl === this.#opts.selfUrl;
  }

  /**
   * @returns whether this VM has read all tables and the store answered its
   * last feed call for each of them
   */
  get canRelay(): boolean {
    return this.#opts.followers.every(({ reachable, synced }) =>
      reachable && synced
    );
  }

  /**
   * Sets the relay of the region.
   *
   * @param url - peer URL of the relay; undefined if it is unknown
   */
  setRelay(url: string | undefined): void {
    if (url === this.#relayUrl) return;
    this.#opts.logger.info(
      { before: this.#relayUrl, relay: url },
      "relay of the region changed",
    );
    this.#relayUrl = url;
    this.#queryNeeded.notify();
  }

  /** Queries the relay soon, as a request needs newer changes. */
  refresh(): void {
    this.#queryNeeded.notify();
  }

  /** Queries the relay for changes until the signal aborts. */
  async run(): Promise<void> {
    const { boundMs, clock, signal } = this.#opts;
    const intervalMs = Math.min(
      MAX_QUERY_INTERVAL_MS,
      boundMs * QUERY_INTERVAL_FRACTION,
    );
    while (!signal.aborted) {
      const url = this.#relayUrl;
      if (url === undefined || this.isRelay) this.#onRelayLost();
      else await this.#queryRelay(url);
      if (this.isRelay) this.#opts.loads?.queryOwn();
      const queriedAt = clock.now();
      await waitForChange(
        { clock, ms: intervalMs, notifiers: [this.#queryNeeded] },
        signal,
      );
      const minWaitMs = queriedAt +
        intervalMs / MAX_QUERIES_PER_INTERVAL - clock.now();
      if (minWaitMs > 0) await clock.sleep(minWaitMs, signal);
    }
  }

  async #queryRelay(peerUrl: string): Promise<void> {
    const { peers, clock, logger, signal, followers } = this.#opts;
    const sentAt = clock.now();
    const answer = await peers.call({
      peerUrl,
      method: ChangesQuery.method,
      params: {
        ...this.#knownVersions(),
        rows: this.#heldRows(),
        loads: this.#opts.loads?.query(),
      },
      result: ChangesQuery.result,
      timeoutMs: QUERY_TIMEOUT_MS,
    }, signal);
    if (answer.isErr()) {
      logger.info(
        { peerUrl, err: answer.error },
        "query to relay failed; following the store instead",
      );
      this.#onRelayLost();
      return;
    }
    const { changes, loads } = answer.value;
    this.#opts.loads?.onAnswer(loads, sentAt);
    for (const follower of followers) {
      const found = changes[follower.table];
      if (found === undefined) follower.onRelayLost();
      else follower.onRelayedChanges(found, sentAt);
    }
  }

  #knownVersions(): Query {
    const known: Record<string, number> = {};
    const eras: Record<string, number> = {};
    for (const { table, version, era } of this.#opts.followers) {
      if (version === undefined) continue;
      known[table] = version;
      if (era > 0) eras[table] = era;
    }
    return Object.keys(eras).length === 0 ? { known } : { known, eras };
  }

  #heldRows(): Record<string, Record<string, number>> {
    const versions: Record<string, Record<string, number>> = {};
    for (const { table, knownRows } of this.#opts.followers) {
      if (knownRows !== undefined) versions[table] = knownRows;
    }
    return versions;
  }

  #changesSince({ known, eras, rows }: Query): Record<string, TableChanges> {
    const relayed: Record<string, TableChanges> = {};
    for (const follower of this.#opts.followers) {
      const version = known[follower.table];
      if (version === undefined) continue;
      const found = follower.changesSince(
        version,
        eras?.[follower.table],
        rows?.[follower.table],
      );
      if (found !== undefined && isSmallEnough(found)) {
        relayed[follower.table] = found;
      }
    }
    return relayed;
  }

  #onRelayLost(): void {
    for (const follower of this.#opts.followers) follower.onRelayLost();
  }
}

function isSmallEnough({ changes }: TableChanges): boolean {
  const bytes = changes.reduce(
    (sum, { key, value, delta }) =>
      sum + key.length + (value?.length ?? 0) + (delta?.data.length ?? 0),
    0,
  );
  return bytes <= MAX_RELAYED_BYTES;
}
