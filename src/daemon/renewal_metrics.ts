import type { Metrics } from "../base/metrics.ts";
import type { LimitHost } from "../limits/limit_host.ts";
import type { RenewGrant } from "../regions/renew_grant.ts";
import type { RenewReport } from "../regions/renew_report.ts";
import type { DispatchHost } from "../upstreams/dispatch_host.ts";
import type { PeerClient } from "../vms/peer_client.ts";

/**
 * Counts renewals and remembers what they carried, by wrapping what the renewal
 * task calls.
 */
export class RenewalMetrics {
  readonly #metrics: Metrics;
  readonly #tags: { region: string };
  #upstreams: RenewReport["upstreams"] = [];
  #shares: RenewGrant["shares"] = [];

  /**
   * @param metrics - receives the counters
   * @param region - region of this process
   */
  constructor(metrics: Metrics, region: string) {
    this.#metrics = metrics;
    this.#tags = { region };
  }

  /**
   * @returns upstreams of this router's dispatchers in the latest report
   */
  get upstreams(): RenewReport["upstreams"] {
    return this.#upstreams;
  }

  /**
   * @returns limit shares of the latest answer
   */
  get shares(): RenewGrant["shares"] {
    return this.#shares;
  }

  /**
   * @param host - the dispatchers of this router
   * @returns the same, measured
   */
  dispatchers(host: DispatchHost): DispatchHost {
    return {
      collectReport: () => {
        const report = host.collectReport();
        this.#upstreams = report.upstreams;
        return report;
      },
      applyGrant: (grant, leaseEndsAt) => host.applyGrant(grant, leaseEndsAt),
      reportChanged: () => host.reportChanged(),
    };
  }

  /**
   * @param host - the holder of this router's limit shares
   * @returns the same, measured
   */
  limits(host: LimitHost): LimitHost {
    return {
      collect: () => host.collect(),
      apply: (shares, leaseEndsAt) => {
        this.#shares = shares;
        this.#metrics.increment("renewal.granted", 1, this.#tags);
        host.apply(shares, leaseEndsAt);
      },
    };
  }

  /**
   * @param peers - calls `dispatch.renew` only
   * @returns the same, measured
   */
  peers(peers: PeerClient): PeerClient {
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
            // The task itself ends a call whose report has become outdated.
            if (!signal.aborted) countFailure();
            return error;
          }),
    };
  }
}
