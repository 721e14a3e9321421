import type { Clock } from "../base/clock.ts";
import { DueTimer } from "./due_timer.ts";
import type { IdleLimit } from "./idle_limit.ts";
import { UpstreamConnection } from "./upstream_connection.ts";

type Options = {
  /** `ip:port` of the upstream. */
  address: string;
  clock: Clock;
  /** Learns from resets; may be shared with other upstreams. */
  idleLimit: IdleLimit;
  /**
   * Whether requests are sent on a new connection only when a round trip has
   * shown that the upstream keeps it.
   */
  awaitAcceptance: () => boolean;
  /** Closes everything. */
  signal: AbortSignal;
  onConnected: () => void;
  /** @param err - why no connection was established */
  onConnectFailed: (err: Error) => void;
  /**
   * The last established connection was closed by the other side.
   *
   * @param reset - not an orderly close of idle connections
   */
  onAllClosed: (reset: boolean) => void;
};
type Idle = { connection: UpstreamConnection; since: number };
/** How long a connection had been idle when it was taken again, and when. */
type Reuse = { idleMs: number; at: number };

/** Longer idle connections may have gone silent; see section 14. */
const IDLE_CLOSE_MS = 4000;
const IDLE_NON_IDEMPOTENT_MS = 1000;
/** Health probes and grants use connections of their own. */
const RESERVED_CONNECTIONS = 2;
/** A round trip between regions (40 ms), and as much for a slow VM. */
const RESET_AT_ONCE_MS = 100;
const RESET_CODES: ReadonlySet<string | undefined> = new Set([
  "ECONNRESET",
  "EPIPE",
  "UND_ERR_SOCKET",
]);

/** The connections of one dispatcher to its upstream. */
export class UpstreamConnections {
  readonly #options: Options;
  readonly #all = new Set<UpstreamConnection>();
  /** Longest idle first. */
  #idle: Idle[] = [];
  readonly #busy = new Set<UpstreamConnection>();
  readonly #reused = new WeakMap<UpstreamConnection, Reuse>();
  readonly #timer: DueTimer;
  #retired = false;

  /**
   * @param options - where to connect, and whom to tell
   */
  constructor(options: Options) {
    this.#options = options;
    const { clock, signal } = options;
    this.#timer = new DueTimer({
      clock,
      signal,
      onDue: () => this.#closeIdle(),
    });
    signal.addEventListener("abort", () => this.destroyAll(), { once: true });
  }

  /**
   * @param connections - connections that the upstream accepts
   * @returns how many of them may carry requests
   */
  static usable(connections: number): number {
    return Math.max(1, connections - RESERVED_CONNECTIONS);
  }

  /**
   * Takes the connection that was used last, or a new one. The caller has at
   * most `limit` connections in use at a time.
   *
   * @param limit - connections that may carry requests
   * @param idempotent - a request that may run twice may use a connection that
   * has been idle for longer
   * @returns a connection, to be given back with `release`
   */
  acquire(limit: number, idempotent: boolean): UpstreamConnection {
    const now = this.#options.clock.now();
    const maxIdle = this.#options.idleLimit.maxMs(
      idempotent ? IDLE_CLOSE_MS : IDLE_NON_IDEMPOTENT_MS,
      now,
    );
    this.#closeIdle();
    const newest = this.#idle.at(-1);
    const idleMs = now - (newest?.since ?? 0);
    if (newest !== undefined && idleMs <= maxIdle) {
      this.#idle.pop();
      this.#reused.set(newest.connection, { idleMs, at: now });
      this.#busy.add(newest.connection);
      return newest.connection;
    }
    while (this.#all.size >= limit) {
      const oldest = this.#idle.shift();
      if (oldest === undefined) break;
      this.#remove(oldest.connection);
    }
    const connection = this.#open();
    this.#busy.add(connection);
    return connection;
  }

  /**
   * @param connection - connection whose request has ended
   */
  release(connection: UpstreamConnection): void {
    if (!this.#busy.delete(connection)) return;
    this.#reused.delete(connection);
    if (!connection.established || this.#retired) {
      this.#remove(connection);
      return;
    }
    const now = this.#options.clock.now();
    this.#idle.push({ connection, since: now });
    this.#timer.set(now + IDLE_CLOSE_MS);
  }

  /**
   * Closes a connection whose request failed or was given up; the answer could
   * still arrive on it.
   *
   * @param connection - the connection
   * @param err - why the request failed
   */
  discard(connection: UpstreamConnection, err: Error): void {
    if (!this.#all.has(connection)) return;
    const { code } = err as NodeJS.ErrnoException;
    const reset = connection.established && RESET_CODES.has(code);
    this.#noteReset(connection, code);
    this.#remove(connection);
    if (reset) this.#closedByUpstream(true);
  }

  /** Closes idle connections now, and others as soon as they are released. */
  retire(): void {
    this.#retired = true;
    for (const { connection } of [...this.#idle]) this.#remove(connection);
  }

  /** Closes every connection; requests on them fail. */
  destroyAll(): void {
    for (const connection of this.#all) this.#remove(connection);
  }

  #open(): UpstreamConnection {
    const connection: UpstreamConnection = new UpstreamConnection({
      address: this.#options.address,
      clock: this.#options.clock,
      onConnected: this.#options.onConnected,
      awaitAcceptance: this.#options.awaitAcceptance(),
      onConnectFailed: (err) => {
        this.#remove(connection);
        this.#options.onConnectFailed(err);
      },
      onClosed: (err) => {
        const { code } = err as NodeJS.ErrnoException;
        this.#noteReset(connection, code);
        this.#remove(connection);
        // The end of a connection that the answer's headers announced.
        if (code !== "UND_ERR_INFO") {
          this.#closedByUpstream(code === "ECONNRESET");
        }
      },
    });
    this.#all.add(connection);
    return connection;
  }

  #noteReset(connection: UpstreamConnection, code: string | undefined): void {
    const { idleLimit, address, clock } = this.#options;
    const reuse = this.#reused.get(connection);
    const now = clock.now();
    if (reuse === undefined || !RESET_CODES.has(code)) return;
    if (now - reuse.at > RESET_AT_ONCE_MS) return;
    this.#reused.delete(connection);
    idleLimit.onReset({ address, idleMs: reuse.idleMs }, now);
  }

  #closedByUpstream(reset: boolean): void {
    const left = [...this.#all].some((other) => other.established);
    if (!left) this.#options.onAllClosed(reset);
  }

  #remove(connection: UpstreamConnection): void {
    this.#all.delete(connection);
    this.#busy.delete(connection);
    this.#idle = this.#idle.filter((idle) => idle.connection !== connection);
    connection.destroy();
  }

  /** Closes what has been idle for too long; returns when to look again. */
  #closeIdle(): number {
    const now = this.#options.clock.now();
    for (;;) {
      const oldest = this.#idle[0];
      if (oldest === undefined) return Infinity;
      if (now - oldest.since < IDLE_CLOSE_MS) {
        return oldest.since + IDLE_CLOSE_MS;
      }
      this.#remove(oldest.connection);
    }
  }
}
