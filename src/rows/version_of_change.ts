import type { RowChange } from "./row_change.ts";

/**
 * Returns the version of a change.
 *
 * @param change - one entry of a change feed
 * @returns the version at which the row changed
 */
export function versionOfChange(change: RowChange): number {
  return change.kind === "written" ? change.row.version : change.version;
}
