import type { ChangeNotifier } from "../base/change_notifier.ts";
import type { CoordinatorRow } from "./coordinator_row.ts";

/** The coordinators of all regions, as far as this router knows them. */
export interface CoordinatorView {
  /**
   * @param region - name of the region
   * @returns the newest known lease row, or undefined
   */
  get(region: string): CoordinatorRow | undefined;

  /** Notifies when a lease row has changed. */
  readonly changed: ChangeNotifier;
}
