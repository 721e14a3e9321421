import type { ResultAsync } from "neverthrow";
import type { ListedVm } from "./listed_vm.ts";

/** The platform's list of live and leaving VMs, which may be out of date. */
export interface VmList {
  /**
   * @param signal - cancels the call
   * @returns every listed VM, or why the list could not be read
   */
  read(
    signal: AbortSignal,
  ): ResultAsync<ListedVm[], { kind: "unavailable"; message: string }>;
}
