import { withDeadline } from "../catalogue/with_deadline.ts";
import type { AdminContext } from "./admin_context.ts";
import type { VmInventory } from "./vm_inventory.ts";

const VM_LIST_TIMEOUT_MS = 2000;

/**
 * Reads the known VMs.
 *
 * @param ctx - VM list and members
 * @returns the known VMs; only the registered routers if the VM list cannot be
 * read within 2 s
 */
export async function readInventory(ctx: AdminContext): Promise<VmInventory> {
  const listed = await withDeadline(
    { clock: ctx.clock, ms: VM_LIST_TIMEOUT_MS, signal: ctx.signal },
    (signal) => ctx.vmList.read(signal),
  );
  return {
    listed: listed.unwrapOr(undefined),
    members: ctx.members.all(),
  };
}
