import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import { withDeadline } from "../catalogue/with_deadline.ts";
import type { TableError } from "../contracts/table_error.ts";
import type { TableService } from "../contracts/table_service.ts";
import { auditKey } from "./audit_key.ts";
import type { AuditPage } from "./audit_page.ts";
import { AuditRow } from "./audit_row.ts";

const TABLE_TIMEOUT_MS = 2000;
const HOUR_MS = 3_600_000;
/** Length of the prefix that all audit keys of one hour share. */
const HOUR_PREFIX_CHARS = "audit/2026-01-01T00".length;

type Deps = {
  table: TableService;
  clock: Clock;
  logger: Logger;
  vm: string;
  /** Aborts writes when the router stops. */
  signal: AbortSignal;
};

type RefusedAttempt = Pick<AuditRow, "actor" | "action" | "details"> & {
  /** Catalogue version that the attempt was based on, 0 for none. */
  version: number;
};

/** Reads the audit trail and records refused attempts in it. */
export class AuditTrail {
  readonly #deps: Deps;

  /**
   * @param deps - table service, clock, log, name of this VM and the signal
   */
  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /**
   * Records an attempt that changed nothing. If the row cannot be written, that
   * is logged and not retried.
   *
   * @param refused - who tried what, based on which catalogue version
   */
  async writeRefused(refused: RefusedAttempt): Promise<void> {
    const { table, clock, logger, vm, signal } = this.#deps;
    const time = clock.wallTime();
    const row: AuditRow = {
      schema: 1,
      at: time.toISOString(),
      actor: refused.actor,
      action: refused.action,
      vm,
      fromVersion: refused.version,
      toVersion: refused.version,
      outcome: "refused",
      details: refused.details,
    };
    const written = await withDeadline(
      { clock, ms: TABLE_TIMEOUT_MS, signal },
      (inner) =>
        table.transact({
          conditions: [],
          writes: [{ key: auditKey(time, randomUUID()), value: row }],
        }, inner),
    );
    if (written.isErr()) {
      logger.warn(
        { code: "audit_write_failed", action: refused.action },
        "audit row of a refused attempt could not be written",
      );
    }
  }

  /**
   * Reads a page of rows, hour by hour, because the table service reads by
   * prefix only and a day has tens of thousands of rows.
   *
   * @param query - reads rows older than `before`, back through at most `hours`
   * clock hours, until at least `limit` rows are found
   * @param signal - aborts the reads
   * @returns all rows of the hours that were read, newest first, or the error
   * of the table service
   */
  async read(
    query: { before: Date; hours: number; limit: number },
    signal: AbortSignal,
  ): Promise<Result<AuditPage, TableError>> {
    const { table, clock } = this.#deps;
    const end = auditKey(query.before, "");
    const rows: AuditPage["rows"] = [];
    let searchedBackTo = query.before;
    for (let count = 0; count < query.hours; count += 1) {
      const hour = new Date(
        Math.floor((searchedBackTo.getTime() - 1) / HOUR_MS) * HOUR_MS,
      );
      const prefix = auditKey(hour, "").slice(0, HOUR_PREFIX_CHARS);
      const read = await withDeadline(
        { clock, ms: TABLE_TIMEOUT_MS, signal },
        (inner) => table.readRows({ prefix, since: 0 }, inner),
      );
      if (read.isErr()) return err(read.error);
      searchedBackTo = hour;
      rows.push(
        ...read.value.rows
          .filter(({ key, value }) => key < end && value !== null)
          .sort((a, b) => a.key < b.key ? 1 : -1)
          .map(({ key, value }) => ({
            key,
            row: AuditRow.safeParse(value).data ?? null,
          })),
      );
      if (rows.length >= query.limit) break;
    }
    return ok({ rows, searchedBackTo: searchedBackTo.toISOString() });
  }
}
