import { err, ok, type Result, type ResultAsync } from "neverthrow";
import type { TableRow } from "../contracts/table_row.ts";
import type { TableService } from "../contracts/table_service.ts";
import { CatalogueRow } from "./catalogue_row.ts";
import type { CatalogueEditError } from "./catalogue_edit_error.ts";

type StoredCatalogue = {
  /** Revision of the row in the table service; 0 if it is absent. */
  revision: number;
  row: CatalogueRow | undefined;
};

function parseRow(
  stored: TableRow,
): Result<StoredCatalogue, CatalogueEditError> {
  const parsed = CatalogueRow.safeParse(stored.value);
  if (parsed.success) {
    return ok({ revision: stored.revision, row: parsed.data });
  }
  const issues = parsed.error.issues.map((issue) =>
    `${issue.path.join(".")}: ${issue.message}`
  );
  return err({
    kind: "unreadable",
    message: `row ${stored.key} is of another schema or damaged: ` +
      issues.join("; "),
  });
}

/**
 * Reads a catalogue row.
 *
 * @param table - the table service
 * @param key - `catalogue/current` or the key of a history row
 * @param signal - cancels the call
 * @returns the row with its revision, or why it cannot be read
 */
export function readCatalogue(
  table: TableService,
  key: string,
  signal: AbortSignal,
): ResultAsync<StoredCatalogue, CatalogueEditError> {
  return table.readRows({ prefix: key, since: 0 }, signal)
    .mapErr((error): CatalogueEditError => ({
      kind: "unavailable",
      message: error.message,
    }))
    .andThen(({ rows }) => {
      const stored = rows.find((row) => row.key === key);
      return stored === undefined || stored.value === null
        ? ok({ revision: 0, row: undefined })
        : parseRow(stored);
    });
}
