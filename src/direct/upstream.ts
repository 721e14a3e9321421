import type { Clock } from "../base/clock.ts";
import { ConnectionRejected } from "../upstreams/connection_rejected.ts";
import type { IdleLimit } from "../upstreams/idle_limit.ts";
import { UpstreamConnections } from "../upstreams/upstream_connections.ts";
import { FailureEstimate } from "./failure_estimate.ts";
import { LoadEstimate } from "./load_estimate.ts";
import type { UpstreamEntry } from "./upstream_entry.ts";
import { WarmUpRateLimiter } from "./warm_up_rate_limiter.ts";

/** Queues that are too long for new connections last for some seconds. */
const REJECTED_MEMORY_MS = 10_000;

/** One incarnation of an upstream, as this VM knows it. */
export class Upstream {
  readonly load: LoadEstimate;
  readonly failures = new FailureEstimate();
  readonly warmUp = new WarmUpRateLimiter();
  readonly connections: UpstreamConnections;
  #entry: UpstreamEntry;
  #drainingSince: number | undefined;
  #rejectedAt = Number.NEGATIVE_INFINITY;
  readonly #closing = new AbortController();

  /**
   * @param entry - what the registry says
   * @param clock - time of connections
   * @param shared - `idleLimit` of all upstreams; `mayReject` whether the
   * upstream may reset new connections: keys may be hot, or connections scarce
   */
  constructor(
    entry: UpstreamEntry,
    clock: Clock,
    shared: { idleLimit: IdleLimit; mayReject: () => boolean },
  ) {
    this.#entry = entry;
    this.load = new LoadEstimate(entry.slots);
    this.connections = new UpstreamConnections({
      address: entry.address,
      clock,
      idleLimit: shared.idleLimit,
      awaitAcceptance: () =>
        shared.mayReject() ||
        clock.now() - this.#rejectedAt < REJECTED_MEMORY_MS,
      signal: this.#closing.signal,
      onConnected: () => undefined,
      onConnectFailed: (err) => {
        if (err instanceof ConnectionRejected) {
          this.#rejectedAt = clock.now();
          this.load.onConnectionRejected(clock.now());
        } else this.failures.onUnreachable(clock.now());
      },
      onAllClosed: () => undefined,
    });
    this.warmUp.setColdUntil(clock.now() + entry.warmUpMs, clock.now());
    if (entry.state === "draining") this.#drainingSince = clock.now();
  }

  /**
   * @returns what the registry said last
   */
  get entry(): UpstreamEntry {
    return this.#entry;
  }

  /**
   * @returns monotonic milliseconds since when it is known to be draining
   */
  get drainingSince(): number | undefined {
    return this.#drainingSince;
  }

  /**
   * @param entry - newer entry of the same incarnation
   * @param now - monotonic milliseconds
   */
  update(entry: UpstreamEntry, now: number): void {
    this.#entry = entry;
    if (entry.state === "draining") this.#drainingSince ??= now;
    else this.#drainingSince = undefined;
    this.warmUp.setColdUntil(now + entry.warmUpMs, now);
  }

  /** Closes idle connections; requests in flight run to their end. */
  retire(): void {
    this.connections.retire();
  }

  /** Closes all connections; requests in flight fail. */
  close(): void {
    this.#closing.abort();
  }
}
