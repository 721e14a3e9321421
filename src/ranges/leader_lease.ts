import { z } from "zod";
import type { Clock } from "../base/clock.ts";
import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Logger } from "../base/logger.ts";
import type { RowStore } from "../rows/row_store.ts";
import { waitForChange } from "../vms/wait_for_change.ts";

const LeaseRow = z.object({
  schema: z.literal(1),
  vm: z.string(),
  incarnation: z.string(),
  peerUrl: z.string(),
  /** The leader has given the lease up. */
  released: z.boolean().optional(),
  /**
   * For how many milliseconds leaders before this one may send orders. It
   * counts from the reading, which is later than the writing.
   */
  earlierOrdersMs: z.number().nonnegative().optional(),
});
type LeaseRow = z.infer<typeof LeaseRow>;
type Options = {
  store: RowStore;
  table: string;
  self: Pick<LeaseRow, "vm" | "incarnation" | "peerUrl">;
  /** Processor cores of this VM; undefined if it is not known. */
  cores: number | undefined;
  clock: Clock;
  logger: Logger;
  signal: AbortSignal;
};
type ObservedRow = {
  row: LeaseRow | undefined;
  version: number;
  since: number;
};

const KEY = "keeper";
const RENEW_MS = 500;
/** A row that has not changed for this long belongs to a lost leader. */
const TTL_MS = 1500;
/** The leader of 90 VMs takes up to 0.27 cores. */
const LEADER_CORES = 0.4;
/** By how much smaller VMs let others go first: less than one poll. */
const SMALL_VM_DELAY_MS = 400;
/** Between two reads of the row of a leader that does not answer. */
const POLL_MS = 500;
const JITTER_MS = 150;
/** Longest sleep of a VM that stands by. */
const IDLE_MS = 60_000;
/**
 * Orders of a leader that cannot reach the store are kept up for this long.
 * Its successor waits as long before it takes their leases for expired.
 */
const GRACE_MS = 12_000;
/** Time of day and monotonic time drift apart by this much in a freeze. */
const FREEZE_MS = 700;

/**
 * The lease that makes one VM the leader of key ranges. Whoever does not hold
 * it reads the row only while the leader does not answer.
 */
export class LeaderLease {
  /** Fires when the lease is won or lost, and when its holder changes. */
  readonly changed = new ChangeNotifier();
  readonly #opts: Options;
  readonly #becameUnreachable = new ChangeNotifier();
  #observed: ObservedRow | undefined;
  #leaderUnreachable = true;
  #held = false;
  #confirmedAt = Number.NEGATIVE_INFINITY;
  #drift = 0;
  /** When the predecessor can have sent its last order. */
  #predecessorEndsAt = Number.NEGATIVE_INFINITY;
  /** The same for leaders before it, which nobody has asked to step down. */
  #earlierEndsAt = Number.NEGATIVE_INFINITY;
  #predecessor: LeaseRow | undefined;

  /**
   * @param opts - the store, and what others are told of this VM
   */
  constructor(opts: Options) {
    this.#opts = opts;
    this.#drift = this.#measureDrift();
  }

  /**
   * @returns whether this VM is the leader, as far as it knows
   */
  get held(): boolean {
    return this.#held;
  }

  /**
   * @returns whether this VM is the leader and has confirmed it lately; if
   * not, another VM may be able to reach the store
   */
  get confirmed(): boolean {
    return this.mayOrder &&
      this.#opts.clock.now() - this.#confirmedAt < TTL_MS;
  }

  /**
   * @returns whether orders may be sent: the lease was confirmed lately, and
   * the process has not been frozen since
   */
  get mayOrder(): boolean {
    if (!this.#held) return false;
    if (Math.abs(this.#measureDrift() - this.#drift) > FREEZE_MS) return false;
    return this.#opts.clock.now() - this.#confirmedAt < GRACE_MS;
  }

  /**
   * @returns monotonic milliseconds after which no earlier leader sends orders
   */
  get predecessorEndsAt(): number {
    return Math.max(this.#predecessorEndsAt, this.#earlierEndsAt);
  }

  /**
   * @returns the leader's peer URL, undefined if there is none or it is this VM
   */
  get leaderUrl(): string | undefined {
    const row = this.#observed?.row;
    const isOther = row?.incarnation !== this.#opts.self.incarnation;
    return this.#held || !isOther || row?.released === true
      ? undefined
      : row?.peerUrl;
  }

  /** The leader does not answer. */
  onLeaderUnreachable(): void {
    if (!this.#leaderUnreachable) {
      this.#opts.logger.warn(
        { keeper: this.#observed?.row?.vm, version: this.#observed?.version },
        "leader does not answer",
      );
    }
    this.#leaderUnreachable = true;
    this.#becameUnreachable.notify();
  }

  /**
   * A process of another VM has been seen.
   *
   * @param vm - name of the VM
   * @param incarnation - its present life; earlier ones have ended
   */
  onPeer(vm: string, incarnation: string): void {
    const before = this.#predecessor;
    if (before?.vm !== vm || before.incarnation === incarnation) return;
    this.onPredecessorStopped();
  }

  /**
   * @returns peer URL of an earlier leader that may still send orders
   */
  get predecessorUrl(): string | undefined {
    return this.#held && this.#opts.clock.now() < this.#predecessorEndsAt
      ? this.#predecessor?.peerUrl
      : undefined;
  }

  /** The earlier leader has said that it sends no more orders. */
  onPredecessorStopped(): void {
    this.#predecessor = undefined;
    this.#predecessorEndsAt = Math.min(
      this.#predecessorEndsAt,
      this.#opts.clock.now(),
    );
  }

  /**
   * Stops being the leader because another VM has the lease.
   *
   * @returns whether this VM sends no orders from now on
   */
  stepDown(): boolean {
    if (this.confirmed) return false;
    if (this.#held) this.#lose("its successor asked");
    return true;
  }

  /** Holds the lease, or stands by, until the signal aborts. */
  async run(): Promise<void> {
    const { clock, signal } = this.#opts;
    while (!signal.aborted) {
      if (this.#held) {
        await this.#renew();
        await clock.sleep(RENEW_MS, signal);
      } else if (this.#leaderUnreachable) {
        if (await this.#tryAcquire()) continue;
        await clock.sleep(POLL_MS + Math.random() * JITTER_MS, signal);
      } else {
        await waitForChange({
          clock,
          ms: IDLE_MS,
          notifiers: [this.#becameUnreachable],
        }, signal);
      }
    }
  }

  /** Gives the lease up, so that another VM need not wait for its end. */
  async release(): Promise<void> {
    if (!this.#held) return;
    const { store, table, logger } = this.#opts;
    const version = this.#observed?.version ?? 0;
    const row: LeaseRow = { ...this.#row(), released: true };
    this.#lose("given up");
    const written = await store.transact({
      expect: [{ table, key: KEY, version }],
      writes: [{ table, key: KEY, value: Buffer.from(JSON.stringify(row)) }],
      remove: [],
    }, AbortSignal.timeout(TTL_MS));
    if (written.isErr()) {
      logger.warn({ err: written.error }, "leader lease not given up");
    }
  }

  #row(): LeaseRow {
    const { self, clock } = this.#opts;
    const earlierOrdersMs = this.predecessorEndsAt - clock.now();
    return {
      schema: 1,
      ...self,
      ...(earlierOrdersMs > 0 ? { earlierOrdersMs } : {}),
    };
  }

  #standbyDelayMs(): number {
    return (this.#opts.cores ?? LEADER_CORES) < LEADER_CORES
      ? SMALL_VM_DELAY_MS
      : 0;
  }

  #measureDrift(): number {
    const { clock } = this.#opts;
    return clock.wallTime().getTime() - clock.now();
  }

  async #renew(): Promise<void> {
    const { clock } = this.#opts;
    const startedAt = clock.now();
    const drift = this.#measureDrift();
    const outcome = await this.#write(this.#observed?.version ?? 0);
    switch (outcome.kind) {
      case "applied":
        this.#confirmedAt = startedAt;
        this.#drift = drift;
        return;
      case "conflict": {
        // An earlier renewal whose answer was lost may have been applied.
        const row = await this.#readRow();
        if (row === "unknown") return;
        if (row?.incarnation !== this.#opts.self.incarnation) {
          this.#lose("another VM has it");
        }
        return;
      }
      case "unknown":
        return;
    }
  }

  /** Returns whether the lease was won. */
  async #tryAcquire(): Promise<boolean> {
    const { clock, self, logger } = this.#opts;
    const before = this.#observed;
    const row = await this.#readRow();
    const observed = this.#observed;
    if (row === "unknown" || observed === undefined) return false;
    const isHeld = row !== undefined && row.released !== true;
    if (isHeld && before?.version !== observed.version) {
      // The leader is alive, or was when this row was written.
      this.#leaderUnreachable = false;
      if (before?.row?.incarnation !== row.incarnation) {
        this.changed.notify();
        logger.info(
          { keeper: row.vm, version: observed.version },
          "leader found",
        );
      }
    }
    const ownEarlier = row?.vm === self.vm;
    const ended = !isHeld || ownEarlier;
    const expired = clock.now() - observed.since >=
      (ended ? 0 : TTL_MS) + this.#standbyDelayMs();
    if (!expired) return false;
    this.#earlierEndsAt = Math.max(
      this.#earlierEndsAt,
      observed.since + (row?.earlierOrdersMs ?? 0),
    );
    this.#predecessorEndsAt = ended
      ? Number.NEGATIVE_INFINITY
      : clock.now() + GRACE_MS;
    const outcome = await this.#write(observed.version);
    if (outcome.kind !== "applied") return false;
    const now = clock.now();
    this.#held = true;
    this.#leaderUnreachable = false;
    this.#confirmedAt = now;
    this.#drift = this.#measureDrift();
    this.#predecessor = ended ? undefined : row;
    this.#predecessorEndsAt = ended ? now : now + GRACE_MS;
    logger.info(
      { version: this.#observed?.version, predecessor: row?.vm },
      "leader lease won",
    );
    this.changed.notify();
    return true;
  }

  async #readRow(): Promise<LeaseRow | undefined | "unknown"> {
    const { store, table, clock, signal, logger } = this.#opts;
    const read = await store.readTable(table, signal);
    if (read.isErr()) {
      logger.info({ err: read.error }, "leader lease not read");
      return "unknown";
    }
    const found = read.value.rows.find((row) => row.key === KEY);
    const row = found === undefined ? undefined : parseRow(found.value);
    if (found !== undefined && row === undefined) {
      logger.error({ version: found.version }, "leader lease is malformed");
    }
    const version = found?.version ?? 0;
    if (this.#observed?.version !== version) {
      this.#observed = { row, version, since: clock.now() };
    }
    return row;
  }

  async #write(
    version: number,
  ): Promise<{ kind: "applied" | "conflict" | "unknown" }> {
    const { store, table, clock, signal, logger } = this.#opts;
    const row = this.#row();
    const outcome = await store.transact({
      expect: [{ table, key: KEY, version }],
      writes: [{ table, key: KEY, value: Buffer.from(JSON.stringify(row)) }],
      remove: [],
    }, signal);
    if (outcome.isErr()) {
      logger.warn({ err: outcome.error }, "leader lease not written");
      return { kind: "unknown" };
    }
    if (outcome.value.kind === "conflict") return { kind: "conflict" };
    this.#observed = {
      row,
      version: outcome.value.version,
      since: clock.now(),
    };
    return { kind: "applied" };
  }

  #lose(reason: string): void {
    this.#held = false;
    this.#leaderUnreachable = true;
    this.#opts.logger.warn({ reason }, "leader lease lost");
    this.changed.notify();
  }
}

function parseRow(value: Uint8Array): LeaseRow | undefined {
  try {
    const parsed = LeaseRow.safeParse(
      JSON.parse(Buffer.from(value).toString("utf8")),
    );
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
