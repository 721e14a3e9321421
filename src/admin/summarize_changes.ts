import type { CatalogueChange } from "../catalogue/catalogue_change.ts";
import { formatPath } from "../settings/format_path.ts";

const MAX_CHANGES = 50;

/**
 * @param changes - differences between two catalogue documents
 * @returns kinds and paths for an audit row, of the first 50 changes; the
 * values are in the history
 */
export function summarizeChanges(
  changes: readonly CatalogueChange[],
): { changes: string[]; count: number } {
  return {
    changes: changes.slice(0, MAX_CHANGES)
      .map(({ kind, path }) => `${kind} ${formatPath(path)}`),
    count: changes.length,
  };
}
