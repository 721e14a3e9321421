import type { TableOutcome } from "../../src/contracts/table_outcome.ts";
import type { TableRow } from "../../src/contracts/table_row.ts";
import type { TableRows } from "../../src/contracts/table_rows.ts";
import type { TableTransaction } from "../../src/contracts/table_transaction.ts";

/** In-memory rows, revisions and transactions of the table service. */
export class TableStore {
  #revision = 0;
  readonly #rows = new Map<string, TableRow>();
  /** Calls since the start, to check against the platform's limits. */
  readonly counts = { reads: 0, writes: 0 };

  /**
   * Commits a transaction if all of its conditions hold.
   *
   * @param transaction - conditions and writes
   * @returns the new revision, or every row whose condition does not hold
   */
  transact(transaction: TableTransaction): TableOutcome {
    this.counts.writes += 1;
    const conflicts = transaction.conditions
      .filter(({ key, revision }) => this.#currentRevision(key) !== revision)
      .map(({ key }) =>
        this.#rows.get(key) ?? { key, revision: 0, value: null }
      );
    if (conflicts.length > 0) return { committed: false, conflicts };
    this.#revision += 1;
    for (const { key, value } of transaction.writes) {
      this.#rows.set(key, { key, revision: this.#revision, value });
    }
    return { committed: true, revision: this.#revision };
  }

  /**
   * @param query - key prefix, and the revision after which rows were written
   * @returns the newest revision, and the rows in key order; deleted rows have
   * a null value
   */
  readRows(query: { prefix: string; since: number }): TableRows {
    this.counts.reads += 1;
    const rows = [...this.#rows.values()]
      .filter((row) =>
        row.key.startsWith(query.prefix) && row.revision > query.since
      )
      .sort((a, b) => a.key < b.key ? -1 : 1);
    return { revision: this.#revision, rows };
  }

  #currentRevision(key: string): number {
    const row = this.#rows.get(key);
    return row === undefined || row.value === null ? 0 : row.revision;
  }
}
