import { ChangeNotifier } from "../base/change_notifier.ts";
import type { CatalogueRow } from "./catalogue_row.ts";

/** The catalogue version that is in force on this router. */
export class CatalogueView {
  readonly changed = new ChangeNotifier();
  #current: CatalogueRow | undefined;

  /**
   * @returns the row in force, or undefined before the first was adopted
   */
  get current(): CatalogueRow | undefined {
    return this.#current;
  }

  /**
   * @returns the version in force, or 0 before the first was adopted
   */
  get version(): number {
    return this.#current?.version ?? 0;
  }

  /**
   * Puts a row in force unless the same or a newer version already is. The
   * version never decreases, in whatever order rows arrive.
   *
   * @param row - a committed row
   * @returns whether the row was put in force
   */
  adopt(row: CatalogueRow): boolean {
    if (row.version <= this.version) return false;
    this.#current = row;
    this.changed.notify();
    return true;
  }
}
