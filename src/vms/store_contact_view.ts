import type { ChangeNotifier } from "../base/change_notifier.ts";
import type { StoreMode } from "./store_mode.ts";

/** The router's contact with the table service, for those who depend on it. */
export interface StoreContactView {
  /**
   * @returns the mode at this moment on the router's clock
   */
  mode(): StoreMode;

  /** Notifies when the mode may have changed. */
  readonly changed: ChangeNotifier;
}
