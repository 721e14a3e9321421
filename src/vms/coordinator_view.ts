import { ChangeNotifier } from "../base/change_notifier.ts";
import type { CoordinatorRow } from "../regions/coordinator_row.ts";

type HeldRow = { revision: number; row: CoordinatorRow };

/** The newest coordinator lease rows that this router knows, by region. */
export class CoordinatorView {
  readonly changed = new ChangeNotifier();
  readonly #rows = new Map<string, HeldRow>();

  /**
   * @param region - the region
   * @returns the newest known lease row, or undefined
   */
  get(region: string): HeldRow | undefined {
    return this.#rows.get(region);
  }

  /**
   * Adopts a row unless a newer one is known. A notification is sent only when
   * the holder or its epoch changes, not with each beat.
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
