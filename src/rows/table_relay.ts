import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { RpcHandler } from "../links/rpc_handler.ts";
import type { PeerClient } from "../vms/peer_client.ts";
import { waitForChange } from "../vms/wait_for_change.ts";
import { NewsQuery } from "./news_query.ts";
import type { TableFollower } from "./table_follower.ts";
import type { TableNews } from "./table_news.ts";

type Options = {
  followers: readonly TableFollower[];
  /** Peer URL of this VM. */
  selfUrl: string;
  peers: PeerClient;
  clock: Clock;
  logger: Logger;
  signal: AbortSignal;
};

/**
 * Larger news are left to the store, whose link is faster than that of a VM
 * which would tell them to all others of its region.
 */
const MAX_NEWS_BYTES = 8192;
/** Changes are to be in force within 2.5 s. */
const ASK_MS = 500;
const ASK_TIMEOUT_MS = 700;
/** Who needs news at once asks after this part of the usual pause. */
const ASKS_PER_PAUSE = 5;
/** Without news for so long, a VM asks the store itself. */
const NEWS_MS = 2 * ASK_MS + ASK_TIMEOUT_MS;

/**
 * Takes changes of the store from one VM of the region, so that calls to the
 * store do not grow with changes times VMs.
 */
export class TableRelay {
  /** Answers the other VMs of the region. */
  readonly handler: RpcHandler;
  readonly #opts: Options;
  /** Fires when news are needed before they are due, or from another VM. */
  readonly #needed = new ChangeNotifier();
  #tellerUrl: string | undefined;

  /**
   * @param opts - the tables that this VM follows, and the other VMs
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.handler = {
      method: NewsQuery.method,
      params: NewsQuery.params,
      handle: (params) =>
        Promise.resolve({
          news: this.#newsSince(NewsQuery.params.parse(params).known),
        }),
    };
  }

  /**
   * @returns whether this VM follows the store for its region
   */
  get telling(): boolean {
    return this.#tellerUrl === this.#opts.selfUrl;
  }

  /**
   * @returns whether the store answers this VM, as far as it knows
   */
  get canTell(): boolean {
    return this.#opts.followers.every(({ reachable, synced }) =>
      reachable && synced
    );
  }

  /**
   * @param url - peer URL of the VM that tells this region; undefined if it is
   * not known
   */
  setTeller(url: string | undefined): void {
    if (url === this.#tellerUrl) return;
    this.#opts.logger.info(
      { before: this.#tellerUrl, teller: url },
      "source of the store's changes replaced",
    );
    this.#tellerUrl = url;
    this.#needed.notify();
  }

  /** A request has met something that this VM does not know yet. */
  refresh(): void {
    this.#needed.notify();
  }

  /** Asks for news until the signal aborts. */
  async run(): Promise<void> {
    const { clock, signal } = this.#opts;
    while (!signal.aborted) {
      const url = this.#tellerUrl;
      if (url === undefined || this.telling) this.#onUntold();
      else await this.#ask(url);
      const askedAt = clock.now();
      await waitForChange(
        { clock, ms: ASK_MS, notifiers: [this.#needed] },
        signal,
      );
      const earlyMs = askedAt + ASK_MS / ASKS_PER_PAUSE - clock.now();
      if (earlyMs > 0) await clock.sleep(earlyMs, signal);
    }
  }

  async #ask(peerUrl: string): Promise<void> {
    const { peers, clock, logger, signal, followers } = this.#opts;
    const answer = await peers.call({
      peerUrl,
      method: NewsQuery.method,
      params: { known: this.#known() },
      result: NewsQuery.result,
      timeoutMs: ASK_TIMEOUT_MS,
    }, signal);
    if (answer.isErr()) {
      logger.info({ peerUrl, err: answer.error }, "news not told");
      this.#onUntold();
      return;
    }
    const { news } = answer.value;
    const until = clock.now() + NEWS_MS;
    for (const follower of followers) {
      const found = news[follower.table];
      if (found === undefined) follower.onUntold();
      else follower.onTold(found, until);
    }
  }

  #known(): Record<string, number> {
    const known: Record<string, number> = {};
    for (const { table, version } of this.#opts.followers) {
      if (version !== undefined) known[table] = version;
    }
    return known;
  }

  #newsSince(known: Record<string, number>): Record<string, TableNews> {
    const news: Record<string, TableNews> = {};
    for (const follower of this.#opts.followers) {
      const version = known[follower.table];
      if (version === undefined) continue;
      const found = follower.newsSince(version);
      if (found !== undefined && isSmall(found)) news[follower.table] = found;
    }
    return news;
  }

  #onUntold(): void {
    for (const follower of this.#opts.followers) follower.onUntold();
  }
}

function isSmall({ changes }: TableNews): boolean {
  const bytes = changes.reduce(
    (sum, { key, value }) => sum + key.length + (value?.length ?? 0),
    0,
  );
  return bytes <= MAX_NEWS_BYTES;
}
