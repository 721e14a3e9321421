import type { Clock } from "../base/clock.ts";
import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Logger } from "../base/logger.ts";
import { runTask } from "../base/run_task.ts";
import type { DirectMetrics } from "../direct/direct_metrics.ts";
import type { RpcHandler } from "../links/rpc_handler.ts";
import type { LeaderLease } from "../ranges/leader_lease.ts";
import type { TableRelay } from "../rows/table_relay.ts";
import type { Tenant } from "../tenants/tenant.ts";
import type { PeerClient } from "../vms/peer_client.ts";
import { waitForChange } from "../vms/wait_for_change.ts";
import { HolderChoice } from "./holder_choice.ts";
import { LimitLog } from "./limit_log.ts";
import type { QuotaBound } from "./quota_bound.ts";
import { ShareIssuer } from "./share_issuer.ts";
import { ShareRequest } from "./share_request.ts";
import { shortId } from "./short_id.ts";
import type { TenantLimiter } from "./tenant_limiter.ts";
import { TokenPool } from "./token_pool.ts";
import { TokenRequest } from "./token_request.ts";
import { TokenStock } from "./token_stock.ts";

type Options = {
  self: { incarnation: string; peerUrl: string };
  lease: Pick<
    LeaderLease,
    | "held"
    | "confirmed"
    | "maySendOrders"
    | "renewalAgeMs"
    | "predecessorOrdersEndAt"
    | "term"
    | "leaderUrl"
  >;
  relay: Pick<TableRelay, "relayUrl" | "isRelay">;
  /** @returns tenants of the configuration in force; undefined if it has none */
  tenants: () => readonly Tenant[] | undefined;
  /** Fires when the tenants may have changed. */
  tenantsChanged: ChangeNotifier;
  bound: QuotaBound;
  peers: PeerClient;
  clock: Clock;
  logger: Logger;
  metrics: Pick<
    DirectMetrics,
    "limitedRequests" | "tokenRequests" | "unexpectedErrors"
  >;
  signal: AbortSignal;
};
type Admission = Awaited<ReturnType<TenantLimiter["admit"]>>;
type Waiter = { id: string; end: (admitted: boolean) => void };

/** Longest time for which a request waits for a token. */
const MAX_WAIT_MS = 250;
/** Bounds the memory of waiting requests. */
const MAX_WAITING = 2000;
/** Regular requests for tokens, which report what was spent. */
const TOKEN_INTERVAL_MS = 500;
/**
 * Requests for tokens that clients' requests cause are spaced, which bounds
 * their number to 5 a second, and the time that they add.
 */
const MIN_TOKEN_INTERVAL_MS = 200;
/** Shorter, as the requests that wait have waited for one interval already. */
const TOKEN_RETRY_MS = 60;
/** A holder in the same region answers within some milliseconds. */
const TOKEN_TIMEOUT_MS = 250;
const SHARE_INTERVAL_MS = 700;
/** While the holder has no shares, and after the tenants have changed. */
const EAGER_SHARE_INTERVAL_MS = 200;
const EAGER_MS = 2000;
const SHARE_TIMEOUT_MS = 900;
/** Advice to clients if it is not known when there are tokens again. */
const UNKNOWN_RETRY_AFTER_MS = 1000;

/**
 * Admits requests within limits that hold for all VMs together. Takes tokens
 * from the holder of the region; if it does not answer, from the leader's.
 */
export class LeasedTenantLimiter implements TenantLimiter {
  /** Handle requests of VMs for tokens, and of holders for shares. */
  readonly handlers: readonly RpcHandler[];
  readonly #opts: Options;
  readonly #stock: TokenStock;
  readonly #pool: TokenPool;
  readonly #issuer: ShareIssuer;
  readonly #log: LimitLog;
  readonly #holder: HolderChoice;
  readonly #ids = new Map<string, string>();
  readonly #waiters = new Set<Waiter>();
  /** Fires when tokens are needed before the next regular request. */
  readonly #tokensNeeded = new ChangeNotifier();
  #tenants: readonly Tenant[] | undefined;
  #bound: QuotaBound;

  /**
   * @param opts - who leads and relays, the tenants, and access to other VMs
   */
  constructor(opts: Options) {
    this.#opts = opts;
    const { clock, logger, lease, self } = opts;
    this.#bound = opts.bound;
    // Messages contain the ids of processes often.
    const incarnation = shortId(self.incarnation);
    this.#stock = new TokenStock(incarnation, clock);
    this.#pool = new TokenPool(incarnation, clock);
    this.#log = new LimitLog(clock, logger);
    this.#holder = new HolderChoice(clock, Math.random);
    this.#issuer = new ShareIssuer({
      incarnation,
      lease,
      tenantIds: () => this.#pool.tenantIds,
      clock,
    });
    this.handlers = [{
      method: TokenRequest.method,
      params: TokenRequest.params,
      handle: (params) =>
        Promise.resolve(
          this.#pool.onTokenRequest(TokenRequest.params.parse(params)),
        ),
    }, {
      method: ShareRequest.method,
      params: ShareRequest.params,
      handle: (params) => {
        this.#applyTenants();
        return Promise.resolve(
          this.#issuer.onRequest(ShareRequest.params.parse(params)),
        );
      },
    }];
  }

  /** {@inheritDoc TenantLimiter.admit} */
  admit(tenant: Tenant): Promise<Admission> | Admission {
    if (tenant.ratePerS === 0) return { kind: "admitted" };
    const id = this.#idOf(tenant.name);
    if (this.#stock.admit(id)) {
      if (this.#stock.isLow(id)) this.#tokensNeeded.notify();
      return { kind: "admitted" };
    }
    const { dryMs } = this.#stock.dryness(id);
    if (dryMs > 0) return this.#refuse(tenant, id, "used_up");
    if (this.#waiters.size >= MAX_WAITING) {
      return this.#refuse(tenant, id, "no_tokens");
    }
    return this.#wait(tenant, id);
  }

  /** @param bound - new bound on the requests of each tenant */
  setBound(bound: QuotaBound): void {
    this.#bound = bound;
    this.#tenants = undefined;
    this.#applyTenants();
  }

  /** Exchanges tokens and shares with other VMs until the signal aborts. */
  async run(): Promise<void> {
    const { signal, metrics } = this.#opts;
    const run = (name: string, task: () => Promise<void>) =>
      runTask(
        {
          ...this.#opts,
          name,
          onError: (place) => metrics.unexpectedErrors.inc({ place }),
        },
        signal,
        task,
      );
    await Promise.all([
      run("tenant tokens", () => this.#runTokens()),
      run("tenant shares", () => this.#runShares()),
    ]);
  }

  async #wait(tenant: Tenant, id: string): Promise<Admission> {
    const { clock } = this.#opts;
    const ended = new AbortController();
    const outcome = { admitted: false };
    const waiter: Waiter = {
      id,
      end: (result) => {
        outcome.admitted = result;
        ended.abort();
      },
    };
    this.#waiters.add(waiter);
    this.#stock.addWaiting(id, 1);
    this.#tokensNeeded.notify();
    await clock.sleep(MAX_WAIT_MS, ended.signal);
    this.#waiters.delete(waiter);
    this.#stock.addWaiting(id, -1);
    if (outcome.admitted) return { kind: "admitted" };
    const { dryMs } = this.#stock.dryness(id);
    return this.#refuse(tenant, id, dryMs > 0 ? "used_up" : "no_tokens");
  }

  #refuse(
    tenant: Tenant,
    id: string,
    reason: "used_up" | "no_tokens",
  ): Admission {
    const { dryMs, share } = this.#stock.dryness(id);
    this.#stock.addRefused(id);
    this.#opts.metrics.limitedRequests.inc({ reason });
    this.#log.onLimited(tenant, { share, reason });
    return {
      kind: "limited",
      retryAfterMs: dryMs > 0 ? dryMs : UNKNOWN_RETRY_AFTER_MS,
    };
  }

  async #runTokens(): Promise<void> {
    const { clock, signal } = this.#opts;
    const isAborted = () => signal.aborted;
    while (!isAborted()) {
      if (!this.#stock.hasWaiting) {
        await waitForChange({
          clock,
          ms: TOKEN_INTERVAL_MS,
          notifiers: [this.#tokensNeeded],
        }, signal);
      }
      if (isAborted()) return;
      await this.#requestTokens();
      const pauseMs = this.#stock.hasWaiting
        ? TOKEN_RETRY_MS
        : MIN_TOKEN_INTERVAL_MS;
      await clock.sleep(pauseMs, signal);
    }
  }

  async #requestTokens(): Promise<void> {
    const { self, peers, signal, metrics, relay } = this.#opts;
    const url = this.#holder.next({
      relayUrl: relay.relayUrl,
      leaderUrl: this.#leaderUrl(),
    });
    if (url === undefined || this.#stock.tenantCount === 0) return;
    const params = this.#stock.beginRequest(url);
    let response: ReturnType<TokenPool["onTokenRequest"]> | undefined;
    if (url === self.peerUrl) response = this.#pool.onTokenRequest(params);
    else {
      const answer = await peers.call({
        peerUrl: url,
        method: TokenRequest.method,
        params,
        result: TokenRequest.result,
        timeoutMs: TOKEN_TIMEOUT_MS,
      }, signal);
      response = answer.isOk() ? answer.value : undefined;
    }
    const renewed = this.#stock.endRequest(params.seq, response);
    metrics.tokenRequests.inc({ result: renewed ? "renewed" : "failed" });
    this.#holder.onResult(renewed);
    if (renewed) this.#endWaits();
  }

  /** Admits waiting requests, and refuses those for which there is no token. */
  #endWaits(): void {
    for (const waiter of this.#waiters) {
      const { id, end } = waiter;
      const admitted = this.#stock.take(id);
      if (!admitted && this.#stock.dryness(id).dryMs === 0) continue;
      this.#waiters.delete(waiter);
      end(admitted);
    }
  }

  #leaderUrl(): string | undefined {
    const { lease, self } = this.#opts;
    return lease.held ? self.peerUrl : lease.leaderUrl;
  }

  async #runShares(): Promise<void> {
    const { clock, signal, relay, lease, tenantsChanged } = this.#opts;
    let requestedAt = Number.NEGATIVE_INFINITY;
    let eagerUntil = Number.NEGATIVE_INFINITY;
    while (!signal.aborted) {
      const changed = this.#applyTenants();
      const startedAt = clock.now();
      // The leader may read the new tenants later than this VM.
      if (changed) eagerUntil = startedAt + EAGER_MS;
      const eager = startedAt < eagerUntil || !this.#pool.leased;
      const intervalMs = eager ? EAGER_SHARE_INTERVAL_MS : SHARE_INTERVAL_MS;
      const isDue = changed || this.#pool.fullWanted ||
        startedAt - requestedAt >= intervalMs;
      this.#pool.sweep();
      const isHolder = relay.isRelay || lease.held || this.#pool.inUse;
      if (isDue && isHolder && this.#pool.tenantIds.length > 0) {
        requestedAt = startedAt;
        await this.#requestShares();
        if (this.#pool.fullWanted) continue;
      }
      await waitForChange({
        clock,
        ms: isDue ? intervalMs : requestedAt + intervalMs - startedAt,
        notifiers: [tenantsChanged],
      }, signal);
    }
  }

  async #requestShares(): Promise<void> {
    const { self, peers, signal } = this.#opts;
    const url = this.#leaderUrl();
    if (url === undefined) return;
    const params = this.#pool.beginShareRequest();
    let response: ReturnType<ShareIssuer["onRequest"]> | undefined;
    if (url === self.peerUrl) response = this.#issuer.onRequest(params);
    else {
      const answer = await peers.call({
        peerUrl: url,
        method: ShareRequest.method,
        params,
        result: ShareRequest.result,
        timeoutMs: SHARE_TIMEOUT_MS,
      }, signal);
      response = answer.isOk() ? answer.value : undefined;
    }
    this.#pool.endShareRequest(params.seq, response);
  }

  /** Returns whether the tenants have changed. */
  #applyTenants(): boolean {
    const tenants = this.#opts.tenants();
    if (tenants === undefined || tenants === this.#tenants) return false;
    this.#tenants = tenants;
    this.#pool.setTenants(tenants, this.#bound);
    const names = new Set(tenants.map(({ name }) => name));
    for (const name of this.#ids.keys()) {
      if (!names.has(name)) this.#ids.delete(name);
    }
    return true;
  }

  #idOf(name: string): string {
    let id = this.#ids.get(name);
    if (id === undefined) {
      id = shortId(name);
      this.#ids.set(name, id);
    }
    return id;
  }
}
