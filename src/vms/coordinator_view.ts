import { ChangeNotifier } from "../base/change_notifier.ts";
import type { CoordinatorRow } from "../regions/coordinator_row.ts";

type KnownRow = { revision: number; row: CoordinatorRow };

/** Holds the newest known coordinator lease row of each region. */
export class CoordinatorView {
  readonly changed = new ChangeNotifier();
  readonly #rows = new Map<string, KnownRow>();

  /**
   * @param region - the region
   * @returns the newest known lease row, or undefined
   */
  get(region: string): KnownRow | undefined {
    return this.#rows.get(region);
  }

  /**
   * Adopts a row unless the same or a newer revision is known. Notifies only
   * when the holder, its epoch or the release changes, not at each renewal.
   *
   * @param revision - the table service's revision of the row
   * @param row - the row
   * @returns whether the row was adopted
   */
  adopt(revision: number, row: CoordinatorRow): boolean {
    const known = this.#rows.get(row.region);
    if (known !== undefined && known.revision >= revision) return false;
    this.#rows.set(row.region, { revision, row });
    if (
      known?.row.epoch !== row.epoch || known.row.peerUrl !== row.peerUrl ||
      known.row.incarnation !== row.incarnation ||
      known.row.released !== row.released
    ) this.changed.notify();
    return true;
  }
}
