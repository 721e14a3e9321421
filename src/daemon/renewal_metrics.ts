import type { Metrics } from "../base/metrics.ts";
import type { LimitHost } from "../limits/limit_host.ts";
import type { RenewGrant } from "../regions/renew_grant.ts";
import type { RenewReport } from "../regions/renew_report.ts";
import type { DispatchHost } from "../upstreams/dispatch_host.ts";
import type { PeerClient } from "../vms/peer_client.ts";

/**
 * Counts renewals of the dispatch lease and keeps the latest reported upstreams
 * and granted shares, by wrapping the objects that the renewal task calls.
 */
export class RenewalMetrics {
  readonly #metrics: Metrics;
  readonly #tags: { region: string };
  #lastUpstreams: RenewReport["upstreams"] = [];
  #lastShares: RenewGrant["shares"] = [];

  /**
   * @param metrics - receives the counters
   * @param region - region of this process
   */
  constructor(metrics: Metrics, region: string) {
    this.#metrics = metrics;
    this.#tags = { region };
  }

  /**
   * @returns the upstreams of this router's dispatchers, as in the latest
   * report to the coordinator
   */
  get lastUpstreams(): RenewReport["upstreams"] {
    return this.#lastUpstreams;
  }

  /**
   * @returns the limit shares in the coordinator's latest answer
   */
  get lastShares(): RenewGrant["shares"] {
    return this.#lastShares;
  }

  /**
   * @param host - the dispatchers of this router
   * @returns a wrapper that also keeps the upstreams of each report
   */
  measureDispatchers(host: DispatchHost): DispatchHost {
    return {
      collectReport: () => {
        const report = host.collectReport();
        this.#lastUpstreams = report.upstreams;
        return report;
      },
      applyGrant: (grant, leaseEndsAt) => host.applyGrant(grant, leaseEndsAt),
      reportChanged: () => host.reportChanged(),
    };
  }

  /**
   * @param host - the holder of this router's limit shares
   * @returns a wrapper that also counts each grant and keeps its shares
   */
  measureLimits(host: LimitHost): LimitHost {
    return {
      collect: () => host.collect(),
      apply: (shares, leaseEndsAt) => {
        this.#lastShares = shares;
        this.#metrics.increment("renewal.granted", 1, this.#tags);
        host.apply(shares, leaseEndsAt);
      },
    };
  }

  /**
   * @param peers - client that is used for `dispatch.renew` only
   * @returns a wrapper that also counts calls that fail or are refused
   */
  measurePeers(peers: PeerClient): PeerClient {
    const countFailure = () => {
      this.#metrics.increment("renewal.failed", 1, this.#tags);
    };
    return {
      call: (call, signal) =>
        peers.call(call, signal)
          .map((answer) => {
            const { kind } = answer as { kind?: unknown };
            if (kind === "not_coordinator") countFailure();
            return answer;
          })
          .mapErr((error) => {
            // The renewal task aborts a call whose report is outdated; that is
            // not a failure.
            if (!signal.aborted) countFailure();
            return error;
          }),
    };
  }
}
