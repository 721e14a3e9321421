import type { ResultAsync } from "neverthrow";
import type { ListedVm } from "./listed_vm.ts";

/** The platform's lagging list of live and leaving VMs. */
export interface VmList {
  /**
   * @param signal - gives up waiting
   * @returns every listed VM, or why the list could not be read
   */
  read(
    signal: AbortSignal,
  ): ResultAsync<ListedVm[], { kind: "unavailable"; message: string }>;
}
