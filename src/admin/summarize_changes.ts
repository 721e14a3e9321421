import type { CatalogueChange } from "../catalogue/catalogue_change.ts";
import { formatPath } from "../settings/format_path.ts";

const MAX_LISTED_CHANGES = 50;

/**
 * Summarizes catalogue changes for an audit row.
 *
 * @param changes - differences between two catalogue documents
 * @returns kinds and paths of the first 50 changes, and the number of all
 * changes; the values are in the catalogue history
 */
export function summarizeChanges(
  changes: readonly CatalogueChange[],
): { changes: string[]; count: number } {
  return {
    changes: changes.slice(0, MAX_LISTED_CHANGES)
      .map(({ kind, path }) => `${kind} ${formatPath(path)}`),
    count: changes.length,
  };
}
