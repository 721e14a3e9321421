import type { Clock } from "../base/clock.ts";
import { ConnectionRejected } from "../upstreams/connection_rejected.ts";
import type { IdleLimit } from "../upstreams/idle_limit.ts";
import { UpstreamConnections } from "../upstreams/upstream_connections.ts";
import { FailureEstimate } from "./failure_estimate.ts";
import { LoadEstimate } from "./load_estimate.ts";
import type { UpstreamEntry } from "./upstream_entry.ts";
import { WarmUpRateLimiter } from "./warm_up_rate_limiter.ts";

/**
 * For this time after a rejected connection, a request is sent on a new
 * connection only once a round trip has shown that the upstream accepts it.
 * Queues that are too long for new connections last for some seconds.
 */
const AWAIT_ACCEPTANCE_MS = 10_000;
/**
 * A write of a registry entry may be carried out some seconds late, after later
 * ones. For this time after an entry was read, older ones count as such. It ends
 * the effect of a wrong count.
 */
const LATE_ENTRY_MS = 30_000;

/**
 * One incarnation of an upstream: its registry entry, its connections, and this
 * VM's estimates of its load and failures.
 */
export class Upstream {
  readonly load: LoadEstimate;
  readonly failures = new FailureEstimate();
  readonly warmUp = new WarmUpRateLimiter();
  readonly connections: UpstreamConnections;
  #entry: UpstreamEntry;
  #entryReadAt: number;
  #drainingSince: number | undefined;
  #leaveAnnouncedAt: number | undefined;
  #pausedUntil = Number.NEGATIVE_INFINITY;
  #rejectedAt = Number.NEGATIVE_INFINITY;
  readonly #closing = new AbortController();
  readonly #clock: Clock;
  readonly #onLeaveAnnounced: () => void;
  #namesRefusals = false;

  /**
   * @param entry - registry entry of the upstream
   * @param clock - clock for connections and estimates
   * @param shared - `idleLimit` for the connections of all upstreams;
   * `mayReject` returns whether the upstream may reset new connections, because
   * its keys may be hot or connections are scarce; `onLeaveAnnounced` is called
   * once if the upstream says in an answer that it is leaving; `drainingSince`
   * is from when it counts as draining if the entry says so
   */
  constructor(
    entry: UpstreamEntry,
    clock: Clock,
    shared: {
      idleLimit: IdleLimit;
      mayReject: () => boolean;
      onLeaveAnnounced: () => void;
      drainingSince: number;
    },
  ) {
    this.#entry = entry;
    this.#entryReadAt = clock.now();
    this.#clock = clock;
    this.#onLeaveAnnounced = shared.onLeaveAnnounced;
    this.load = new LoadEstimate(entry.slots);
    this.connections = new UpstreamConnections({
      address: entry.address,
      clock,
      idleLimit: shared.idleLimit,
      waitForAcceptance: () =>
        shared.mayReject() ||
        clock.now() - this.#rejectedAt < AWAIT_ACCEPTANCE_MS,
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
    if (entry.state === "draining") this.#drainingSince = shared.drainingSince;
  }

  /**
   * @returns the last registry entry
   */
  get entry(): UpstreamEntry {
    return this.#entry;
  }

  /**
   * @param entry - entry that has just been read
   * @param now - monotonic milliseconds
   * @returns whether the incarnation wrote it before the last entry, which was
   * read shortly before
   */
  hasNewerThan(entry: UpstreamEntry, now: number): boolean {
    return entry.incarnation === this.#entry.incarnation &&
      entry.heartbeat < this.#entry.heartbeat &&
      now - this.#entryReadAt < LATE_ENTRY_MS;
  }

  /**
   * @returns since when it is known to be draining, by its registry entry or by
   * an answer, in monotonic milliseconds; undefined if it is not draining
   */
  get drainingSince(): number | undefined {
    return this.#leaveAnnouncedAt === undefined
      ? this.#drainingSince
      : Math.min(this.#leaveAnnouncedAt, this.#drainingSince ?? Infinity);
  }

  /**
   * @returns whether it has said in an answer that it is leaving
   */
  get leaveAnnounced(): boolean {
    return this.#leaveAnnouncedAt !== undefined;
  }

  /**
   * Records that an answer said that it is leaving. This holds whatever its
   * registry entry says, which may be older.
   *
   * @param at - monotonic milliseconds of the answer, by default now
   */
  announceLeave(at = this.#clock.now()): void {
    if (this.#leaveAnnouncedAt !== undefined) return;
    this.#leaveAnnouncedAt = at;
    this.#onLeaveAnnounced();
  }

  /**
   * @returns whether it has named a request in a refusal
   */
  get namesRefusals(): boolean {
    return this.#namesRefusals;
  }

  /** Records that it has refused a request and named it. */
  onNamedRefusal(): void {
    this.#namesRefusals = true;
  }

  /**
   * Records that it wants no further request from this VM for some time.
   *
   * @param ms - how long, in milliseconds
   */
  pause(ms: number): void {
    this.#pausedUntil = Math.max(this.#pausedUntil, this.#clock.now() + ms);
  }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds until it wants requests again; 0 if it does
   */
  pauseMs(now: number): number {
    return Math.max(0, this.#pausedUntil - now);
  }

  /**
   * @param entry - newer entry of the same incarnation
   * @param times - `now`, and from when it counts as draining if the entry says
   * so for the first time; monotonic milliseconds
   */
  update(
    entry: UpstreamEntry,
    { now, drainingSince }: { now: number; drainingSince: number },
  ): void {
    this.#entry = entry;
    this.#entryReadAt = now;
    if (entry.state === "draining") this.#drainingSince ??= drainingSince;
    else this.#drainingSince = undefined;
    this.warmUp.setColdUntil(now + entry.warmUpMs, now);
  }

  /** Closes idle connections. Requests in flight are not interrupted. */
  closeWhenReleased(): void {
    this.connections.closeWhenReleased();
  }

  /** Keeps idle connections again, as it is registered again. */
  reopen(): void {
    this.connections.reopen();
  }

  /** Closes all connections; requests in flight fail. */
  close(): void {
    this.#closing.abort();
  }
}
