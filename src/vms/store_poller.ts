import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import { CatalogueRow } from "../catalogue/catalogue_row.ts";
import type { CatalogueView } from "../catalogue/catalogue_view.ts";
import type { TableRow } from "../contracts/table_row.ts";
import type { TableService } from "../contracts/table_service.ts";
import { CoordinatorRow } from "../regions/coordinator_row.ts";
import { AssignmentRow } from "../shards/assignment_row.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";
import type { CoordinatorView } from "./coordinator_view.ts";
import { MemberRow } from "./member_row.ts";
import type { MemberView } from "./member_view.ts";
import { waitForChange } from "./wait_for_change.ts";
import { withTimeout } from "./with_timeout.ts";

const CATALOGUE_KEY = "catalogue/current";
const FIRST_POLL_PREFIXES = [
  CATALOGUE_KEY,
  "members/",
  "coordinators/",
  "assignments/",
];
// More than one, so that a poll on an unresponsive connection does not delay
// the next ones; bounded, so that polls do not pile up while the store is slow.
const MAX_OUTSTANDING_POLLS = 3;
// Added to the poll interval. With 500 ms between polls an answer is overdue
// 700 ms after the last one. Witnesses have then promised before the shortest
// wait for them ends, which is 900 ms: a coordinator lease of 1,200 ms that was
// renewed 300 ms before the outage.
const ANSWER_GRACE_PERIOD_MS = 200;

/** Polls the table service (the store) and passes its rows to the views. */
export class StorePoller {
  /** Notifies after each successful poll. */
  readonly polled = new ChangeNotifier();
  /** Notifies after each failed poll. */
  readonly failed = new ChangeNotifier();

  readonly #table: TableService;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #pollMs: number;
  readonly #timeoutMs: number;
  readonly #views: {
    catalogue: CatalogueView;
    members: MemberView;
    coordinators: CoordinatorView;
    assignments: AssignmentView;
  };
  readonly #pollRequested = new ChangeNotifier();
  readonly #revisions = new Map<string, number>();
  #sinceRevision = 0;
  #lastSentAt: number | undefined;
  #lastAnswerAt = 0;
  /** When the newest poll that failed was sent. */
  #lastFailedSentAt = Number.NEGATIVE_INFINITY;
  #readCount = 0;
  #outstandingPolls = 0;

  /**
   * @param options - `table` to read, `pollMs` between polls, `timeoutMs` after
   * which a poll fails, both in milliseconds, and the `views` that receive the
   * rows
   */
  constructor(
    options: {
      table: TableService;
      clock: Clock;
      logger: Logger;
      pollMs: number;
      timeoutMs: number;
      views: {
        catalogue: CatalogueView;
        members: MemberView;
        coordinators: CoordinatorView;
        assignments: AssignmentView;
      };
    },
  ) {
    this.#table = options.table;
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#pollMs = options.pollMs;
    this.#timeoutMs = options.timeoutMs;
    this.#views = options.views;
  }

  /**
   * @returns when the newest successful poll was sent, in monotonic
   * milliseconds, or undefined before the first
   */
  get lastSentAt(): number | undefined {
    return this.#lastSentAt;
  }

  /**
   * Measures the time between answers, not the duration of one poll, so that a
   * store that is slow but answers every poll is not overdue.
   *
   * @returns when the store starts to count as unreachable unless another
   * answer arrives, in monotonic milliseconds; in the past once a poll has
   * failed that was sent after every successful one
   */
  get overdueAt(): number {
    return this.#lastFailedSentAt > (this.#lastSentAt ?? 0)
      ? this.#lastFailedSentAt
      : this.#lastAnswerAt + this.#pollMs + ANSWER_GRACE_PERIOD_MS;
  }

  /**
   * @returns number of reads sent to the table service so far
   */
  get readCount(): number {
    return this.#readCount;
  }

  /**
   * @param key - key of a row
   * @returns the newest known revision of the row; 0 if unknown
   */
  revisionOf(key: string): number {
    return this.#revisions.get(key) ?? 0;
  }

  /** Requests a poll without waiting for the interval to pass. */
  pollNow(): void {
    this.#pollRequested.notify();
  }

  /**
   * Passes a row to its view, unless a newer one of the same key is known. A
   * row that does not match its schema is logged and skipped.
   *
   * @param row - a row from the table service or from another router
   */
  adopt(row: TableRow): void {
    if (row.revision <= this.revisionOf(row.key)) return;
    if (this.#passToView(row)) this.#revisions.set(row.key, row.revision);
  }

  /**
   * Polls until the signal aborts.
   *
   * @param signal - ends the task and the polls that it started
   */
  async run(signal: AbortSignal): Promise<void> {
    const polls = new Set<Promise<void>>();
    while (!signal.aborted) {
      if (this.#outstandingPolls < MAX_OUTSTANDING_POLLS) {
        const poll = this.#poll(signal).finally(() => polls.delete(poll));
        polls.add(poll);
      }
      await waitForChange({
        clock: this.#clock,
        ms: this.#pollMs,
        notifiers: [this.#pollRequested],
      }, signal);
    }
    await Promise.all(polls);
  }

  async #poll(signal: AbortSignal): Promise<void> {
    this.#outstandingPolls += 1;
    const sentAt = this.#clock.now();
    // The first poll skips history and audit rows, which may be many. Later
    // polls read all new rows at once, which is cheaper than a read per prefix.
    const prefixes = this.#lastSentAt === undefined
      ? FIRST_POLL_PREFIXES
      : [""];
    const since = this.#sinceRevision;
    this.#readCount += prefixes.length;
    const results = await withTimeout(
      { clock: this.#clock, ms: this.#timeoutMs },
      signal,
      (pollSignal) =>
        Promise.all(
          prefixes.map((prefix) =>
            this.#table.readRows({ prefix, since }, pollSignal)
          ),
        ),
    );
    this.#outstandingPolls -= 1;
    const rows: TableRow[] = [];
    let revision = Number.POSITIVE_INFINITY;
    for (const result of results) {
      if (result.isErr()) {
        this.#logger.debug({ error: result.error }, "store poll failed");
        this.#lastFailedSentAt = Math.max(this.#lastFailedSentAt, sentAt);
        this.failed.notify();
        return;
      }
      rows.push(...result.value.rows);
      // The reads of one poll may return different revisions. Continuing from
      // the lowest one skips no row.
      revision = Math.min(revision, result.value.revision);
    }
    for (const row of rows.sort((a, b) => a.revision - b.revision)) {
      this.adopt(row);
    }
    this.#sinceRevision = Math.max(this.#sinceRevision, revision);
    this.#lastSentAt = Math.max(this.#lastSentAt ?? sentAt, sentAt);
    this.#lastAnswerAt = this.#clock.now();
    this.polled.notify();
  }

  #passToView(row: TableRow): boolean {
    if (row.key === CATALOGUE_KEY) {
      const parsed = CatalogueRow.safeParse(row.value);
      if (!parsed.success) return this.#skipRow(row);
      this.#views.catalogue.adopt(parsed.data);
      return true;
    }
    if (row.key.startsWith("members/")) {
      const vm = row.key.slice("members/".length);
      if (row.value === null) {
        this.#views.members.set(vm, undefined);
        return true;
      }
      const parsed = MemberRow.safeParse(row.value);
      if (!parsed.success || parsed.data.vm !== vm) return this.#skipRow(row);
      this.#views.members.set(vm, parsed.data);
      return true;
    }
    if (row.key.startsWith("coordinators/")) {
      const parsed = CoordinatorRow.safeParse(row.value);
      if (
        !parsed.success || row.key !== `coordinators/${parsed.data.region}`
      ) return this.#skipRow(row);
      this.#views.coordinators.adopt(row.revision, parsed.data);
      return true;
    }
    if (row.key.startsWith("assignments/")) {
      const parsed = AssignmentRow.safeParse(row.value);
      if (
        !parsed.success ||
        row.key !== `assignments/${parsed.data.region}/${parsed.data.service}`
      ) return this.#skipRow(row);
      this.#views.assignments.adopt(row.revision, parsed.data);
      return true;
    }
    return false;
  }

  #skipRow(row: TableRow): false {
    this.#logger.warn(
      { row: row.key, revision: row.revision },
      "skipping a row that does not match its schema",
    );
    return false;
  }
}
