import { ChangeNotifier } from "../base/change_notifier.ts";
import type { AssignmentRow } from "./assignment_row.ts";

type KnownRow = { revision: number; row: AssignmentRow };

/** Holds the newest known assignment row of each service in every region. */
export class AssignmentView {
  readonly changed = new ChangeNotifier();
  readonly #rows = new Map<string, KnownRow>();

  /**
   * @param region - region of the row
   * @param service - service of the row
   * @returns the newest known row, or undefined
   */
  get(region: string, service: string): KnownRow | undefined {
    return this.#rows.get(`${region}/${service}`);
  }

  /**
   * @returns every known row
   */
  all(): KnownRow[] {
    return [...this.#rows.values()];
  }

  /**
   * Adopts a row unless the same or a newer revision is known.
   *
   * @param revision - the table service's revision of the row
   * @param row - the row
   * @returns whether the row was adopted
   */
  adopt(revision: number, row: AssignmentRow): boolean {
    const key = `${row.region}/${row.service}`;
    const known = this.#rows.get(key);
    if (known !== undefined && known.revision >= revision) return false;
    this.#rows.set(key, { revision, row });
    this.changed.notify();
    return true;
  }
}
