import { z } from "zod";
import { PackedDomainLoads } from "./packed_domain_loads.ts";

/** Parts of messages between VMs that carry loads. */
export const DomainLoadMessage = {
  /** Of a VM, to the relay of its region. */
  fromVm: z.object({
    vm: z.string(),
    own: PackedDomainLoads,
    /** Whether the VM wants the loads in other regions as well. */
    far: z.boolean().optional(),
  }),
  /** Of the relay, to a VM. */
  fromRelay: z.object({
    near: PackedDomainLoads,
    /** Loads in other regions. */
    far: PackedDomainLoads.optional(),
  }),
  /**
   * Of a relay, to the leader: the sums over the VMs of its region; and of the
   * leader, to a relay: the sums over all other regions.
   */
  ofRegions: PackedDomainLoads,
};
