import type { ClientKind } from "./client_kind.ts";
import type { ClientLimitReason } from "./client_limit_reason.ts";
import type { ClientLimits } from "./client_limits.ts";

/** Part of the memory for clients that is added for `others`. */
const RESERVE_FRACTION = 1 / 8;

/**
 * Limits the memory that clients of all listeners of a process hold together.
 * What a client holds is estimated from what it sent; the estimates are upper
 * bounds of what was measured (docs/design/client-budget.md).
 */
export class ClientBudget {
  readonly limits: ClientLimits;
  readonly #onLimited: (reason: ClientLimitReason) => void;
  readonly #reclaimers = new Set<() => void>();
  #used = 0;

  /**
   * @param limits - the limits
   * @param onLimited - called for each client that is refused or closed
   */
  constructor(
    limits: ClientLimits,
    onLimited: (reason: ClientLimitReason) => void = () => undefined,
  ) {
    this.limits = limits;
    this.#onLimited = onLimited;
  }

  /**
   * @returns bytes in use
   */
  get used(): number {
    return this.#used;
  }

  /**
   * Takes memory. If it is short, connections that do not make progress are
   * closed first.
   *
   * @param bytes - bytes that are needed in addition
   * @param kind - who needs them
   * @returns whether they were available and are now in use
   */
  take(bytes: number, kind: ClientKind): boolean {
    const { memoryBytes } = this.limits;
    const limit = kind === "callers"
      ? memoryBytes
      : memoryBytes * (1 + RESERVE_FRACTION);
    if (this.#used + bytes > limit) {
      for (const reclaim of this.#reclaimers) reclaim();
      if (this.#used + bytes > limit) return false;
    }
    this.#used += bytes;
    return true;
  }

  /** @param bytes - bytes that are no longer in use */
  give(bytes: number): void {
    this.#used -= bytes;
  }

  /** @param reason - why a client was refused or closed */
  report(reason: ClientLimitReason): void {
    this.#onLimited(reason);
  }

  /**
   * @param reclaim - closes the connections of one listener that hold memory
   * and make no progress
   */
  addReclaimer(reclaim: () => void): void {
    this.#reclaimers.add(reclaim);
  }
}
