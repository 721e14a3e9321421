import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { TableError } from "../contracts/table_error.ts";
import type { TableRow } from "../contracts/table_row.ts";
import type { TableService } from "../contracts/table_service.ts";
import { AssignmentRow } from "../shards/assignment_row.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";
import type { CoordinatorLeaseView } from "./coordinator_lease_view.ts";
import type { PlannedWrite } from "./planned_write.ts";
import type { CoordinatorTerm } from "./coordinator_term.ts";

type HeldRow = { revision: number; row: AssignmentRow };
type Deps = {
  region: string;
  clock: Clock;
  logger: Logger;
  lease: CoordinatorLeaseView;
  table: TableService;
  assignments: AssignmentView;
};

const WRITE_TIMEOUT_MS = 1000;
const READ_TIMEOUT_MS = 1000;
const RETRY_DELAY_MS = 100;

/** Writes assignment rows and resolves writes whose outcome is unknown. */
export class AssignmentWriter {
  readonly #deps: Deps;

  /**
   * @param deps - what the writer reads and calls
   */
  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /**
   * Reads the assignment rows of this region.
   *
   * @param signal - ends the wait
   * @returns the rows that match their schema, or the error of the read
   */
  async readRows(
    signal: AbortSignal,
  ): Promise<Result<HeldRow[], TableError>> {
    const { table, region } = this.#deps;
    const prefix = `assignments/${region}/`;
    const read = await this.#withTimeout(
      READ_TIMEOUT_MS,
      signal,
      async (limited) => await table.readRows({ prefix, since: 0 }, limited),
    );
    if (read.isErr()) return err(read.error);
    return ok(read.value.rows.flatMap((row) => this.#parseRow(row)));
  }

  /**
   * Makes one write, and allows the service's next one once the outcome is
   * known.
   *
   * @param write - the change
   * @param term - coordinator term that adopts the row in the store afterwards
   * @param limit - `signal` ends the wait; `isLeaseHeld` returns whether the
   * term still lasts
   */
  async write(
    write: PlannedWrite,
    term: CoordinatorTerm,
    limit: { signal: AbortSignal; isLeaseHeld: () => boolean },
  ): Promise<void> {
    const { lease, clock, logger } = this.#deps;
    const { service, row, transaction } = write;
    const outcome = await this.#withTimeout(
      WRITE_TIMEOUT_MS,
      limit.signal,
      async (limited) => await lease.writeFenced(transaction, limited),
    );
    let gainsBlocked = false;
    if (outcome.isOk() && outcome.value.committed) {
      this.#adoptRow({ revision: outcome.value.revision, row }, term);
    } else if (outcome.isOk() && !outcome.value.committed) {
      const conflicts = outcome.value.conflicts;
      logger.warn(
        { service, keys: conflicts.map((conflict) => conflict.key) },
        "assignment write conflicted with another write; replanning",
      );
      for (const conflict of conflicts) {
        for (const held of this.#parseRow(conflict)) {
          if (held.row.region !== row.region) gainsBlocked = true;
          this.#adoptRow(held, term);
        }
      }
      await clock.sleep(RETRY_DELAY_MS, limit.signal);
    } else if (outcome.isErr() && outcome.error.kind === "unknown") {
      await this.#readBack(write, term, limit);
    } else {
      logger.warn({ service }, "assignment write failed; nothing was written");
      await clock.sleep(RETRY_DELAY_MS, limit.signal);
    }
    term.onWriteSettled(service, { gainsBlocked });
  }

  /**
   * Reads the rows until the read succeeds, and adopts the service's row. A
   * write that the read does not show may still take effect. The condition on
   * the row's revision then makes the next write fail, and its conflict returns
   * the row.
   */
  async #readBack(
    write: PlannedWrite,
    term: CoordinatorTerm,
    limit: { signal: AbortSignal; isLeaseHeld: () => boolean },
  ): Promise<void> {
    const { clock, logger } = this.#deps;
    const { service, row } = write;
    while (!limit.signal.aborted && limit.isLeaseHeld()) {
      const read = await this.readRows(limit.signal);
      if (read.isOk()) {
        const found = read.value.find((held) => held.row.service === service);
        logger.warn(
          { service, applied: found?.row.writeId === row.writeId },
          "outcome of an assignment write was unknown; read the row back",
        );
        if (found !== undefined) this.#adoptRow(found, term);
        return;
      }
      await clock.sleep(RETRY_DELAY_MS, limit.signal);
    }
  }

  #adoptRow(held: HeldRow, term: CoordinatorTerm): void {
    const { assignments, region, clock } = this.#deps;
    assignments.adopt(held.revision, held.row);
    if (held.row.region === region) term.adopt(held, clock.now());
  }

  #parseRow(row: TableRow): HeldRow[] {
    if (row.value === null || !row.key.startsWith("assignments/")) return [];
    const parsed = AssignmentRow.safeParse(row.value);
    if (!parsed.success) {
      this.#deps.logger.error(
        { key: row.key },
        "assignment row does not match its schema; ignoring it",
      );
      return [];
    }
    return [{ revision: row.revision, row: parsed.data }];
  }

  async #withTimeout<T>(
    ms: number,
    signal: AbortSignal,
    call: (limited: AbortSignal) => Promise<T>,
  ): Promise<T> {
    const done = new AbortController();
    const expired = new AbortController();
    void this.#deps.clock
      .sleep(ms, AbortSignal.any([signal, done.signal]))
      .then(() => expired.abort());
    try {
      return await call(AbortSignal.any([signal, expired.signal]));
    } finally {
      done.abort();
    }
  }
}
