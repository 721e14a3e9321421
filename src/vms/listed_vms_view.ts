import type { ChangeNotifier } from "../base/change_notifier.ts";
import type { ListedVm } from "../contracts/listed_vm.ts";

/** The platform's VM list as last read. */
export interface ListedVmsView {
  /**
   * @returns every listed VM; empty until the first successful read
   */
  readonly vms: readonly ListedVm[];

  /** Notifies when the list has changed. */
  readonly changed: ChangeNotifier;
}
