import type { Clock } from "../base/clock.ts";
import { DueTimer } from "./due_timer.ts";
import type { IdleLimit } from "./idle_limit.ts";
import { UpstreamConnection } from "./upstream_connection.ts";

type Options = {
  /** `ip:port` of the upstream. */
  address: string;
  clock: Clock;
  /** Shortens idle times after resets; may be shared by several upstreams. */
  idleLimit: IdleLimit;
  /**
   * Returns whether a new connection waits one round trip before its first
   * request, in case the upstream resets it.
   */
  waitForAcceptance: () => boolean;
  /** Closes all connections when it aborts. */
  signal: AbortSignal;
  onConnected: () => void;
  /** @param err - why no connection was established */
  onConnectFailed: (err: Error) => void;
  /**
   * Called when the upstream closed the last established connection.
   *
   * @param reset - whether it was reset rather than closed in an orderly way
   */
  onAllClosed: (reset: boolean) => void;
};
type IdleConnection = { connection: UpstreamConnection; since: number };
/** When a connection was reused, and how long it had been idle before. */
type Reuse = { idleMs: number; at: number };

/**
 * Connections that are idle for longer may have been dropped without a close;
 * see the design page, section 14.
 */
const IDLE_TIMEOUT_MS = 4000;
const NON_IDEMPOTENT_IDLE_TIMEOUT_MS = 1000;
/** Health checks and grants use their own connections. */
const RESERVED_CONNECTIONS = 2;
/**
 * Longest time between reuse and a reset that is attributed to idleness: a
 * round trip between regions (40 ms), and as much again for a slow VM.
 */
const MAX_IMMEDIATE_RESET_MS = 100;
const RESET_CODES: ReadonlySet<string | undefined> = new Set([
  "ECONNRESET",
  "EPIPE",
  "UND_ERR_SOCKET",
]);

/** Pool of connections to one upstream. */
export class UpstreamConnections {
  readonly #options: Options;
  readonly #all = new Set<UpstreamConnection>();
  /** Longest idle first. */
  #idle: IdleConnection[] = [];
  readonly #busy = new Set<UpstreamConnection>();
  readonly #reused = new WeakMap<UpstreamConnection, Reuse>();
  readonly #timer: DueTimer;
  #closing = false;

  /**
   * @param options - the upstream and the callbacks
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
   * @param connections - number of connections that the upstream accepts
   * @returns number of them that may carry requests
   */
  static usable(connections: number): number {
    return Math.max(1, connections - RESERVED_CONNECTIONS);
  }

  /**
   * Returns the most recently used idle connection, or a new one. The caller
   * must not use more than `limit` connections concurrently.
   *
   * @param limit - number of connections that may carry requests
   * @param request - `idempotent`: whether the request may run twice and so may
   * use a connection that has been idle for longer; `sentOn`: connections on
   * which it has already been sent, none of which is returned
   * @returns a connection, to be returned with `release` or `discard`
   */
  acquire(
    limit: number,
    { idempotent, sentOn }: {
      idempotent: boolean;
      sentOn?: ReadonlySet<UpstreamConnection>;
    },
  ): UpstreamConnection {
    const now = this.#options.clock.now();
    const maxIdleMs = this.#options.idleLimit.maxIdleMs(
      idempotent ? IDLE_TIMEOUT_MS : NON_IDEMPOTENT_IDLE_TIMEOUT_MS,
      now,
    );
    this.#closeIdle();
    const newest = this.#idle.findLast(({ connection }) =>
      sentOn?.has(connection) !== true
    );
    if (newest !== undefined && now - newest.since <= maxIdleMs) {
      return this.#reuse(newest);
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
   * Returns the most recently used idle connection that fits.
   *
   * @param fits - whether a connection may be used
   * @returns a connection, to be returned with `release` or `discard`;
   * undefined if there is none
   */
  acquireIdle(
    fits: (connection: UpstreamConnection) => boolean,
  ): UpstreamConnection | undefined {
    this.#closeIdle();
    const idle = this.#idle.findLast(({ connection }) =>
      connection.established && fits(connection)
    );
    return idle === undefined ? undefined : this.#reuse(idle);
  }

  /**
   * Returns a connection to the pool.
   *
   * @param connection - connection whose request has completed
   */
  release(connection: UpstreamConnection): void {
    if (!this.#busy.delete(connection)) return;
    this.#reused.delete(connection);
    if (!connection.established || this.#closing) {
      this.#remove(connection);
      return;
    }
    const now = this.#options.clock.now();
    this.#idle.push({ connection, since: now });
    this.#timer.set(now + IDLE_TIMEOUT_MS);
  }

  /**
   * Closes a connection whose request failed or was abandoned; its answer could
   * still arrive.
   *
   * @param connection - the connection
   * @param err - why the request failed
   */
  discard(connection: UpstreamConnection, err: Error): void {
    if (!this.#all.has(connection)) return;
    const { code } = err as NodeJS.ErrnoException;
    const reset = connection.established && RESET_CODES.has(code);
    this.#recordReset(connection, code);
    this.#remove(connection);
    if (reset) this.#onClosedByUpstream(true);
  }

  /** Closes idle connections now, and others as soon as they are released. */
  closeWhenReleased(): void {
    this.#closing = true;
    for (const { connection } of [...this.#idle]) this.#remove(connection);
  }

  /** Keeps released connections again, after `closeWhenReleased`. */
  reopen(): void {
    this.#closing = false;
  }

  /** Closes every connection; requests on them fail. */
  destroyAll(): void {
    for (const connection of this.#all) this.#remove(connection);
  }

  #reuse(idle: IdleConnection): UpstreamConnection {
    const { connection, since } = idle;
    const now = this.#options.clock.now();
    this.#idle = this.#idle.filter((other) => other !== idle);
    this.#reused.set(connection, { idleMs: now - since, at: now });
    this.#busy.add(connection);
    return connection;
  }

  #open(): UpstreamConnection {
    const connection: UpstreamConnection = new UpstreamConnection({
      address: this.#options.address,
      clock: this.#options.clock,
      onConnected: this.#options.onConnected,
      waitForAcceptance: this.#options.waitForAcceptance(),
      onConnectFailed: (err) => {
        this.#remove(connection);
        this.#options.onConnectFailed(err);
      },
      onClosed: (err) => {
        const { code } = err as NodeJS.ErrnoException;
        this.#recordReset(connection, code);
        this.#remove(connection);
        // `UND_ERR_INFO`: the answer's headers announced the close.
        if (code !== "UND_ERR_INFO") {
          this.#onClosedByUpstream(code === "ECONNRESET");
        }
      },
    });
    this.#all.add(connection);
    return connection;
  }

  #recordReset(connection: UpstreamConnection, code: string | undefined): void {
    const { idleLimit, address, clock } = this.#options;
    const reuse = this.#reused.get(connection);
    const now = clock.now();
    if (reuse === undefined || !RESET_CODES.has(code)) return;
    if (now - reuse.at > MAX_IMMEDIATE_RESET_MS) return;
    this.#reused.delete(connection);
    idleLimit.onReset({ address, idleMs: reuse.idleMs }, now);
  }

  #onClosedByUpstream(reset: boolean): void {
    const someEstablished = [...this.#all].some((other) => other.established);
    if (!someEstablished) this.#options.onAllClosed(reset);
  }

  #remove(connection: UpstreamConnection): void {
    this.#all.delete(connection);
    this.#busy.delete(connection);
    this.#idle = this.#idle.filter((idle) => idle.connection !== connection);
    connection.destroy();
  }

  /** Closes connections past the idle timeout; returns when to check again. */
  #closeIdle(): number {
    const now = this.#options.clock.now();
    for (;;) {
      const oldest = this.#idle[0];
      if (oldest === undefined) return Infinity;
      if (now - oldest.since < IDLE_TIMEOUT_MS) {
        return oldest.since + IDLE_TIMEOUT_MS;
      }
      this.#remove(oldest.connection);
    }
  }
}
