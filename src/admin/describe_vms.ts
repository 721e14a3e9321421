import type { CatalogueDocument } from "../catalogue/catalogue_document.ts";
import type { VmInventory } from "./vm_inventory.ts";
import type { VmsAnswer } from "./vms_answer.ts";

type Vm = VmsAnswer["vms"][number];

/**
 * Lists the VMs with their state.
 *
 * @param inventory - the known VMs
 * @param out - names of VMs and failure domains that are out of service
 * @returns every known VM with its state, sorted by id
 */
export function describeVms(
  inventory: VmInventory,
  out: CatalogueDocument["out"],
): VmsAnswer {
  const vms = new Map<string, Vm>();
  const outFlags = (id: string, failureDomain: string) => ({
    out: out.vms.includes(id),
    domainOut: out.failureDomains.includes(failureDomain),
  });
  for (const { vm, region, failureDomain, peerUrl } of inventory.members) {
    vms.set(vm, {
      id: vm,
      kind: "entry",
      region,
      failureDomain,
      address: peerUrl.replace(/^http:\/\//, ""),
      service: null,
      state: "unlisted",
      member: true,
      ...outFlags(vm, failureDomain),
    });
  }
  for (const listed of inventory.listed ?? []) {
    const { id, kind, region, failureDomain, address, state } = listed;
    vms.set(id, {
      id,
      kind,
      region,
      failureDomain,
      address,
      service: listed.service ?? null,
      state,
      member: vms.has(id),
      ...outFlags(id, failureDomain),
    });
  }
  return {
    vmListRead: inventory.listed !== undefined,
    vms: [...vms.values()].sort((a, b) => a.id < b.id ? -1 : 1),
  };
}
