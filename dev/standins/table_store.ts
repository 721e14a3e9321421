import type { TableOutcome } from "../../src/contracts/table_outcome.ts";
import type { TableRow } from "../../src/contracts/table_row.ts";
import type { TableRows } from "../../src/contracts/table_rows.ts";
import type { TableTransaction } from "../../src/contracts/table_transaction.ts";

/** Rows, revisions and transactions of the table service, in memory. */
export class TableStore {
  #revision = 0;
  readonly #rows = new Map<string, TableRow>();
  /** Counts for the bounds that the platform sets, since the start. */
  readonly counts = { reads: 0, writes: 0 };

  /**
   * @param transaction - conditions and writes
   * @returns the new revision, or every row whose condition does not hold
   */
  transact(transaction: TableTransaction): TableOutcome {
    this.counts.writes += 1;
    const conflicts = transaction.conditions
      .filter(({ key, revision }) => this.#liveRevision(key) !== revision)
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
   * @param query - key prefix and the revision after which rows are wanted
   * @returns the rows in key order; deleted ones have a null value
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

  #liveRevision(key: string): number {
    const row = this.#rows.get(key);
    return row === undefined || row.value === null ? 0 : row.revision;
  }
}
