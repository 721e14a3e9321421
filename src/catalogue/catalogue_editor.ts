import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { auditKey } from "../admin/audit_key.ts";
import type { AuditRow } from "../admin/audit_row.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { TableService } from "../contracts/table_service.ts";
import type { TableTransaction } from "../contracts/table_transaction.ts";
import type { CatalogueEdit } from "./catalogue_edit.ts";
import { catalogueKeys } from "./catalogue_keys.ts";
import type { CatalogueRow } from "./catalogue_row.ts";
import { checkCatalogue } from "./check_catalogue.ts";
import type { CatalogueEditError } from "./catalogue_edit_error.ts";
import { readCatalogue } from "./read_catalogue.ts";
import { withDeadline } from "./with_deadline.ts";

/** Longest wait for one answer of the table service. */
const TABLE_TIMEOUT_MS = 2000;
/** Longest time to find out whether a write without an answer took effect. */
const OUTCOME_TIMEOUT_MS = 8000;
const OUTCOME_RETRY_DELAY_MS = 200;

type Deps = {
  table: TableService;
  clock: Clock;
  logger: Logger;
  /** Name of this router's VM, for the audit trail. */
  vm: string;
};

/** The new row and the transaction that writes it. */
type PreparedWrite = { row: CatalogueRow; transaction: TableTransaction };

/** Writes catalogue changes to the table service. */
export class CatalogueEditor {
  readonly #deps: Deps;

  /**
   * @param deps - table service, clock, log and the name of this VM
   */
  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /**
   * @param signal - cancels the call
   * @returns the stored catalogue and its revision, or why it cannot be read
   */
  read(
    signal: AbortSignal,
  ): Promise<
    Result<
      { revision: number; row: CatalogueRow | undefined },
      CatalogueEditError
    >
  > {
    return this.#readKey(catalogueKeys.current, signal);
  }

  /**
   * Writes the new document, its history row and the audit row in one
   * transaction. A failed attempt gets an audit row as well, if the table
   * service accepts it.
   *
   * @param edit - the change
   * @param signal - ends the attempt; the outcome may then be `unknown`
   * @returns the committed row, or the error
   */
  async apply(
    edit: CatalogueEdit,
    signal: AbortSignal,
  ): Promise<Result<CatalogueRow, CatalogueEditError>> {
    const problems = edit.outOnly === true ? [] : checkCatalogue(edit.document);
    const result = problems.length > 0
      ? err<CatalogueRow, CatalogueEditError>({ kind: "invalid", problems })
      : await this.#commit(edit, signal);
    if (result.isErr()) await this.#auditFailure(edit, result.error, signal);
    return result;
  }

  async #commit(
    edit: CatalogueEdit,
    signal: AbortSignal,
  ): Promise<Result<CatalogueRow, CatalogueEditError>> {
    const read = await this.read(signal);
    if (read.isErr()) return err(read.error);
    const { revision, row: current } = read.value;
    if ((current?.version ?? 0) !== edit.expectedVersion) {
      return err(conflictWith(current));
    }
    const prepared = this.#prepareWrite(edit, revision, current);
    return await this.#transact(prepared, signal);
  }

  #prepareWrite(
    edit: CatalogueEdit,
    revision: number,
    current: CatalogueRow | undefined,
  ): PreparedWrite {
    const time = this.#deps.clock.wallTime();
    const version = edit.expectedVersion + 1;
    const row: CatalogueRow = {
      // Keeps fields that a newer router added to the row.
      ...current,
      schema: 1,
      version,
      author: edit.author,
      at: time.toISOString(),
      writeId: randomUUID(),
      document: edit.document,
    };
    const audit: AuditRow = {
      ...this.#auditFields(edit, time),
      toVersion: version,
      outcome: "committed",
      details: edit.details,
    };
    return {
      row,
      transaction: {
        conditions: [
          { key: catalogueKeys.current, revision },
          // Prevents the reuse of a version after the current row was deleted.
          { key: catalogueKeys.history(version), revision: 0 },
        ],
        writes: [
          { key: catalogueKeys.current, value: row },
          { key: catalogueKeys.history(version), value: row },
          { key: auditKey(time, randomUUID()), value: audit },
        ],
      },
    };
  }

  /**
   * Sends the transaction. If its answer is lost, reads the history row; while
   * that row is absent, sends the same transaction again. The conditions make
   * this safe: the transaction takes effect at most once, and a delayed first
   * copy cannot take effect after a later one.
   */
  async #transact(
    { row, transaction }: PreparedWrite,
    signal: AbortSignal,
  ): Promise<Result<CatalogueRow, CatalogueEditError>> {
    const { table, clock, logger } = this.#deps;
    const deadline = clock.now() + OUTCOME_TIMEOUT_MS;
    let lostAnswerMessage: string | undefined;
    for (;;) {
      const answer = await this.#withTimeout(
        signal,
        (inner) => table.transact(transaction, inner),
      );
      if (answer.isOk()) {
        if (answer.value.committed) return ok(row);
        const outcome = await this.#resolveConflict(row, signal);
        if (outcome !== undefined) return outcome;
      } else if (
        answer.error.kind === "unavailable" && lostAnswerMessage === undefined
      ) {
        return err({ kind: "unavailable", message: answer.error.message });
      } else {
        lostAnswerMessage = answer.error.message;
        logger.warn(
          { code: "catalogue_answer_lost", version: row.version },
          "answer to a catalogue write was lost; reading the row back",
        );
        const outcome = await this.#readBack(row, signal);
        if (outcome !== undefined) return outcome;
      }
      if (signal.aborted || clock.now() >= deadline) {
        return err({
          kind: "unknown",
          version: row.version,
          message: lostAnswerMessage ??
            "the winning change could not be read",
        });
      }
      await clock.sleep(OUTCOME_RETRY_DELAY_MS, signal);
    }
  }

  /**
   * @returns the outcome, or undefined if the history row of this version is
   * absent or cannot be read
   */
  async #readBack(
    row: CatalogueRow,
    signal: AbortSignal,
  ): Promise<Result<CatalogueRow, CatalogueEditError> | undefined> {
    // History rows are never replaced, so this write is still visible after a
    // later change.
    const read = await this.#readKey(
      catalogueKeys.history(row.version),
      signal,
    );
    if (read.isErr() || read.value.row === undefined) return undefined;
    const found = read.value.row;
    return found.writeId === row.writeId ? ok(row) : err(conflictWith(found));
  }

  /**
   * Finds out which change caused the conflict. It may be this write itself, if
   * an earlier copy took effect and its answer was lost.
   *
   * @returns the outcome, or undefined if it could not be read
   */
  async #resolveConflict(
    row: CatalogueRow,
    signal: AbortSignal,
  ): Promise<Result<CatalogueRow, CatalogueEditError> | undefined> {
    const outcome = await this.#readBack(row, signal);
    if (outcome !== undefined) return outcome;
    const current = await this.read(signal);
    if (current.isErr()) {
      return current.error.kind === "unreadable"
        ? err(current.error)
        : undefined;
    }
    return err(conflictWith(current.value.row));
  }

  #readKey(key: string, signal: AbortSignal) {
    const { table } = this.#deps;
    return this.#withTimeout(
      signal,
      (inner) => readCatalogue(table, key, inner),
    );
  }

  #withTimeout<T>(
    signal: AbortSignal,
    run: (signal: AbortSignal) => PromiseLike<T>,
  ): Promise<T> {
    const { clock } = this.#deps;
    return withDeadline({ clock, ms: TABLE_TIMEOUT_MS, signal }, run);
  }

  #auditFields(edit: CatalogueEdit, time: Date) {
    return {
      schema: 1 as const,
      at: time.toISOString(),
      actor: edit.author,
      action: edit.action,
      vm: this.#deps.vm,
      fromVersion: edit.expectedVersion,
    };
  }

  async #auditFailure(
    edit: CatalogueEdit,
    error: CatalogueEditError,
    signal: AbortSignal,
  ): Promise<void> {
    const { table, clock, logger } = this.#deps;
    // The table service has just failed to answer; do not wait for it again.
    if (error.kind === "unavailable") return;
    const time = clock.wallTime();
    const audit: AuditRow = {
      ...this.#auditFields(edit, time),
      toVersion: edit.expectedVersion,
      outcome: auditOutcome(error),
      details: {
        ...edit.details,
        code: error.kind,
        ...("version" in error ? { version: error.version } : {}),
      },
    };
    const written = await this.#withTimeout(signal, (inner) =>
      table.transact({
        conditions: [],
        writes: [{ key: auditKey(time, randomUUID()), value: audit }],
      }, inner));
    if (written.isErr()) {
      logger.warn(
        { code: "audit_write_failed", action: edit.action },
        "audit row of a failed change could not be written",
      );
    }
  }
}

function auditOutcome(error: CatalogueEditError): AuditRow["outcome"] {
  if (error.kind === "conflict" || error.kind === "unknown") return error.kind;
  return "refused";
}

function conflictWith(winner: CatalogueRow | undefined): CatalogueEditError {
  return {
    kind: "conflict",
    version: winner?.version ?? 0,
    author: winner?.author ?? "",
    at: winner?.at ?? "",
  };
}
