import type { RowChange } from "./row_change.ts";
import { versionOfChange } from "./version_of_change.ts";

/** At most this many VMs change their rows at the same time. */
const MAX_KEPT_CHANGES = 1000;

/** Keeps the last change of each row of a table. */
export class ChangeHistory {
  readonly #changes = new Map<string, RowChange>();
  /** All changes after this version are kept. */
  #completeAfter = Infinity;

  /**
   * Removes all changes after a read of the whole table.
   *
   * @param version - version at which the table was read
   */
  reset(version: number): void {
    this.#changes.clear();
    this.#completeAfter = version;
  }

  /**
   * Adds changes of the feed.
   *
   * @param changes - later changes, in ascending order of versions
   */
  add(changes: readonly RowChange[]): void {
    for (const change of changes) {
      const key = change.kind === "written" ? change.row.key : change.key;
      // Deletes the key first, so that the map stays in order of versions.
      this.#changes.delete(key);
      this.#changes.set(key, change);
    }
    for (const [key, change] of this.#changes) {
      if (this.#changes.size <= MAX_KEPT_CHANGES) break;
      this.#changes.delete(key);
      this.#completeAfter = versionOfChange(change);
    }
  }

  /**
   * @param version - version up to which changes are known
   * @returns the changes after it, or undefined if they are no longer kept
   */
  since(version: number): RowChange[] | undefined {
    if (version < this.#completeAfter) return undefined;
    return [...this.#changes.values()]
      .filter((change) => versionOfChange(change) > version);
  }
}
