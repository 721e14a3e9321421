import type { ChangeNotifier } from "../base/change_notifier.ts";
import type { StoreMode } from "./store_mode.ts";

/** Read-only view of the router's contact with the table service. */
export interface StoreContactView {
  /**
   * @returns the current mode by the router's clock
   */
  mode(): StoreMode;

  /** Notifies when the mode may have changed. */
  readonly changed: ChangeNotifier;
}
