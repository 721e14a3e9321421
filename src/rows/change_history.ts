import type { RowChange } from "./row_change.ts";
import { versionOfChange } from "./version_of_change.ts";

/** Rows whose last change is kept; more VMs than that do not change at once. */
const MAX_CHANGES = 1000;

/** The last change of each row of a table, as far back as `floor`. */
export class ChangeHistory {
  readonly #changes = new Map<string, RowChange>();
  #floor = Infinity;

  /** @param version - the table was read whole at this version */
  reset(version: number): void {
    this.#changes.clear();
    this.#floor = version;
  }

  /** @param changes - what has changed since, in ascending order */
  add(changes: readonly RowChange[]): void {
    for (const change of changes) {
      const key = change.kind === "written" ? change.row.key : change.key;
      // Deleted first, so that the map stays in the order of versions.
      this.#changes.delete(key);
      this.#changes.set(key, change);
    }
    for (const [key, change] of this.#changes) {
      if (this.#changes.size <= MAX_CHANGES) break;
      this.#changes.delete(key);
      this.#floor = versionOfChange(change);
    }
  }

  /**
   * @param version - version up to which changes are known
   * @returns the changes after it, or undefined if they are not kept any more
   */
  since(version: number): RowChange[] | undefined {
    if (version < this.#floor) return undefined;
    return [...this.#changes.values()]
      .filter((change) => versionOfChange(change) > version);
  }
}
