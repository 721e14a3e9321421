import type { ListedVm } from "../contracts/listed_vm.ts";
import type { MemberRow } from "../vms/member_row.ts";

/** The known VMs: those in the VM list and the registered routers. */
export type VmInventory = {
  /** Undefined when the VM list could not be read. */
  listed: readonly ListedVm[] | undefined;
  members: readonly MemberRow[];
};
